import type { OverPart, QuotaRefusal, TargetAvailability } from '@ferrylock/routing';
import type { BodyFailure } from './body-reading.js';
import type { Refusal, RefusalReason } from './refusal.js';

/** Refusal reason for each failure to read a body. */
const BODY_REFUSALS: Readonly<Record<Exclude<BodyFailure, 'stopping'>, RefusalReason>> = {
  'too-large': 'too-large',
  'too-many-bytes-held': 'too-many-bytes-held',
  'too-late': 'deadline-not-run',
  'caller-gone': 'caller-gone',
};
/** Refusal detail for each failure to admit a caller to a route. */
export const ADMISSION_DETAILS = {
  'unknown-key': 'the route needs the key of a client account',
  'unusable-account': 'the client account of this key cannot be read here',
  'no-common-region': 'no region may serve both the route and the client account',
} as const;
const NOT_READY_RETRY_SECONDS = 1;
/** Paths are checked several times within it, and callers learn of other hosts. */
const UNREACHABLE_RETRY_SECONDS = 1;
/** Other hosts can take the request at once; the jitter spreads the callers of one host. */
const STOPPING_RETRY_SECONDS = 0.1;
const MILLISECONDS_PER_SECOND = 1_000;

/** Refusal while no configuration is known. */
export function notReady(): Refusal {
  const detail = 'this entry host has not learned the configuration yet';
  return { reason: 'not-ready', detail, ran: 'no', retryAfterSeconds: NOT_READY_RETRY_SECONDS };
}

/** Refusal by a configuration in place of which a newer one may be in force. */
export function unconfirmedConfiguration(): Refusal {
  const detail = 'the configuration known here does not admit it, but a newer one may';
  return { reason: 'configuration-unconfirmed', detail, ran: 'no' };
}

/** Refusal of a request that belongs to a route of the configuration that cannot be used. */
export function unusableRoute(): Refusal {
  const detail = 'the route of this request cannot be read here';
  return {
    reason: 'unusable-route',
    detail,
    ran: 'no',
    retryAfterSeconds: NOT_READY_RETRY_SECONDS,
  };
}

/** Refusal of a request beyond the limit of its client account. */
export function overQuota({ retryAfterSeconds, ...figures }: QuotaRefusal): Refusal {
  const { limit, usedHere, usedElsewhere } = figures;
  const detail = `limit ${limit} in a window, used ${usedHere} here and ${usedElsewhere} elsewhere`;
  return { reason: 'over-quota', detail, ran: 'no', retryAfterSeconds };
}

/** Refusal of a request that this host's processor has no time for. */
export function hostOverload(retryAfterSeconds: number): Refusal {
  const detail = 'this entry host gets more requests than it has processor time for';
  return { reason: 'host-overload', detail, ran: 'no', retryAfterSeconds };
}

/** Refusal of a request beyond its account's part of a service that is short of room. */
export function overPart({ retryAfterSeconds, ...figures }: OverPart): Refusal {
  const [part, demand, load] = [
    figures.partPerSecond,
    figures.demandPerSecond,
    figures.loadPerSlot,
  ].map((figure) => figure.toFixed(2));
  const detail = `part ${part} of the ${demand} requests a second of this account, ${load} requests a slot`;
  return { reason: 'over-part', detail, ran: 'no', retryAfterSeconds };
}

/** Refusal while this host reaches no target that may serve the request. */
export function targetsUnreachable(): Refusal {
  const detail = 'this entry host reaches no target, nor does another one take the request';
  const retryAfterSeconds = UNREACHABLE_RETRY_SECONDS;
  return { reason: 'targets-unreachable', detail, ran: 'no', retryAfterSeconds };
}

/** Refusal of a request with a large answer while callers have too much to take still. */
export function tooManyBytesHeld(): Refusal {
  const detail = 'this entry host holds as many bytes for callers as it may';
  return { reason: 'too-many-bytes-held', detail, ran: 'no' };
}

/** Refusal of a request that this host may not be able to answer before it stops. */
export function stopping(): Refusal {
  const detail = 'this entry host stops before the request would have to be answered';
  return { reason: 'stopping', detail, ran: 'no', retryAfterSeconds: STOPPING_RETRY_SECONDS };
}

/** Refusal in place of an answer whose status would promise that the request has not run. */
export function unprovenRefusal(status: number): Refusal {
  const detail = `status ${status} does not say that the request has not run`;
  return { reason: 'target-failed', detail, ran: 'unknown' };
}

/** Refusal of an invalid request. */
export function badRequest(detail: string): Refusal {
  return { reason: 'bad-request', detail, ran: 'no' };
}

/**
 * Adds the wait until a target is available, when all candidates are resting or at their limit. The
 * reason is replaced only if no target has refused the request itself.
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

/** Refusal of a request whose body could not be read. */
export function bodyRefusal(failure: BodyFailure): Refusal {
  if (failure === 'stopping') {
    return stopping();
  }
  return {
    reason: BODY_REFUSALS[failure],
    detail: `the body could not be read: ${failure}`,
    ran: 'no',
  };
}
