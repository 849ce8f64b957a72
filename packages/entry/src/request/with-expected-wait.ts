import type { Route, ServiceTargets } from '@ferrylock/routing';
import type { Refusal, RefusalReason } from './refusal.js';
import { withCommonWait } from './refusals.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Reasons that a caller may overcome by waiting for capacity. */
const CAPACITY_REASONS: ReadonlySet<RefusalReason> = new Set([
  'overload',
  'target-refused',
  'targets-rest',
  'targets-limited',
]);

/** Request whose caller may have to wait for targets. */
export interface WaitingRequest {
  readonly route: Route;
  readonly service: ServiceTargets;
  /** Largest priority number of any request. */
  readonly lowestPriority: number;
}

/**
 * Adds the expected wait to a refusal for lack of capacity that specifies none. What may have run is
 * not asked for again.
 */
export function withExpectedWait(
  refusal: Refusal,
  { route, service, lowestPriority }: WaitingRequest,
): Refusal {
  const { ran, reason, retryAfterSeconds } = refusal;
  if (ran !== 'no' || retryAfterSeconds !== undefined || !CAPACITY_REASONS.has(reason)) {
    return refusal;
  }
  const wait = service.earliestAvailability(route);
  if (wait !== undefined) {
    return withCommonWait(refusal, wait);
  }
  const backlogMilliseconds = service.backlogMilliseconds(route, lowestPriority);
  return backlogMilliseconds === undefined
    ? refusal
    : { ...refusal, retryAfterSeconds: backlogMilliseconds / MILLISECONDS_PER_SECOND };
}
