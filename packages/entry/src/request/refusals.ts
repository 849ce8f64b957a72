import type { TargetAvailability, QuotaRefusal } from '@ferrylock/routing';
import type { BodyFailure } from './body-reader.js';
import type { Refusal } from './refusal.js';

/** What a caller is told whose body did not come whole; one that is gone is told nothing. */
const BODY_REFUSALS = {
  'too-large': 'too-large',
  'too-many-bytes-held': 'too-many-bytes-held',
  'too-late': 'deadline-not-run',
  'caller-gone': 'caller-gone',
} as const;
/** What a caller is told that may not use a route. */
export const ADMISSION_DETAILS = {
  'unknown-key': 'the route needs the key of a client account',
  'no-common-region': 'no region may serve both the route and the client account',
} as const;
/** What a caller is told that came before the configuration did. */
const NOT_READY_RETRY_SECONDS = 1;
const MILLISECONDS_PER_SECOND = 1_000;

/** Before the configuration is known. */
export function notReady(): Refusal {
  const detail = 'this entry host has not learned the configuration yet';
  return { reason: 'not-ready', detail, ran: 'no', retryAfterSeconds: NOT_READY_RETRY_SECONDS };
}

/** Over the limit of its client account. */
export function overQuota({ retryAfterSeconds, ...figures }: QuotaRefusal): Refusal {
  const { limit, usedHere, usedElsewhere } = figures;
  const detail = `limit ${limit} in a window, used ${usedHere} here and ${usedElsewhere} elsewhere`;
  return { reason: 'over-quota', detail, ran: 'no', retryAfterSeconds };
}

/** The request itself is wrong. */
export function badRequest(detail: string): Refusal {
  return { reason: 'bad-request', detail, ran: 'no' };
}

/**
 * All targets that might take it rest, or get as many requests as they named. A request that some of them turned away before
 * keeps that as its reason.
 */
export function withCommonWait(
  refusal: Refusal,
  { milliseconds, resting, limited }: TargetAvailability,
): Refusal {
  const wait = {
    retryAfterSeconds: milliseconds / MILLISECONDS_PER_SECOND,
    isLowerBound: true,
    ...(resting.length === 0 ? {} : { resting }),
    ...(limited.length === 0 ? {} : { limited }),
  };
  if (refusal.reason !== 'overload') {
    return { ...refusal, ...wait };
  }
  return limited.length === 0
    ? { reason: 'targets-rest', detail: 'all targets asked for rest', ran: 'no', ...wait }
    : {
        reason: 'targets-limited',
        detail: 'all targets get as many requests as they named, or asked for rest',
        ran: 'no',
        ...wait,
      };
}

/** The body did not come whole. */
export function bodyRefusal(failure: BodyFailure): Refusal {
  return {
    reason: BODY_REFUSALS[failure],
    detail: `the body could not be read: ${failure}`,
    ran: 'no',
  };
}
