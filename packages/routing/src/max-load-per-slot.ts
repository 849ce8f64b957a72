import type { Route } from './route-configuration.js';

/** Fraction of the target latency that queueing and processing may take. */
const USABLE_LATENCY_SHARE = 0.9;
/** Lower bound: a late response is worth more than a refusal and warms the cache. */
const MIN_LOAD = 1.8;
/** Upper bound: longer queues would exceed the timeouts of callers. */
const MAX_LOAD = 2.5;
/** Extra load for each priority level, so that lower priorities are refused first. */
const LOAD_PER_PRIORITY = 0.15;

export interface MaxLoadInput {
  readonly route: Pick<Route, 'targetLatencyMilliseconds' | 'priority'>;
  /** Average processing time of the service; undefined before the first response. */
  readonly processingMilliseconds: number | undefined;
  /** Largest priority number of all routes; larger numbers are less urgent. */
  readonly lowestPriority: number;
}

/**
 * Maximum requests per slot, running and queued, for a target to accept another one: as many as let
 * it finish within the target latency. Requests that could not finish in time are better refused at
 * once, so that the caller can retry.
 */
export function maxLoadPerSlot({
  route,
  processingMilliseconds,
  lowestPriority,
}: MaxLoadInput): number {
  const extra = LOAD_PER_PRIORITY * Math.max(0, lowestPriority - route.priority);
  if (processingMilliseconds === undefined) {
    return MIN_LOAD + extra;
  }
  const byLatency =
    (USABLE_LATENCY_SHARE * route.targetLatencyMilliseconds) / processingMilliseconds;
  return Math.min(MAX_LOAD, Math.max(MIN_LOAD, byLatency)) + extra;
}
