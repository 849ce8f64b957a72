import type { Route } from './route-configuration.js';

/** Part of the time for an answer of full use that work and waiting may take; the rest is the way. */
const USABLE_SHARE = 0.9;
/**
 * Allowed even where work takes long, as on objects that are not known yet: an answer that comes late
 * is worth more than a refusal, and makes the object known (measured, note 0009).
 */
const LEAST = 1.8;
/** More waiting than this would not end inside any caller's patience. */
const MOST = 2.5;
/** What each step of urgency adds, so that the less urgent is refused first. */
const PER_URGENCY = 0.15;

export interface MaxLoadInput {
  readonly route: Pick<Route, 'targetLatencyMilliseconds' | 'priority'>;
  /** Average time of work on a request of the service; undefined before the first answer. */
  readonly processingMilliseconds: number | undefined;
  /** Largest priority number of all routes. */
  readonly lowestPriority: number;
}

/**
 * Requests, running and waiting, that a target may have for each slot when one more is sent: so
 * many that this one still ends within the time that makes it of full use. What could not is
 * better refused at once, while the caller can come back.
 */
export function maxLoadPerSlot({
  route,
  processingMilliseconds: runMilliseconds,
  lowestPriority: leastUrgent,
}: MaxLoadInput): number {
  const urgency = PER_URGENCY * Math.max(0, leastUrgent - route.priority);
  if (runMilliseconds === undefined) {
    return LEAST + urgency;
  }
  const fitting = (USABLE_SHARE * route.targetLatencyMilliseconds) / runMilliseconds;
  return Math.min(MOST, Math.max(LEAST, fitting)) + urgency;
}
