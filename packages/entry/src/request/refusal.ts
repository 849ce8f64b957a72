import type { CallerExchange } from './caller-exchange.js';

/** Media type of a problem document (RFC 9457). */
const PROBLEM_CONTENT_TYPE = 'application/problem+json';

/** HTTP status for each reason why a request is refused. */
const STATUS_BY_REASON = {
  'not-ready': 503,
  'unknown-route': 404,
  'unknown-key': 401,
  'unusable-route': 503,
  'unusable-account': 503,
  'no-common-region': 503,
  'configuration-unconfirmed': 503,
  'over-quota': 429,
  'over-part': 503,
  'bad-request': 400,
  'too-large': 413,
  'too-many-bytes-held': 503,
  stopping: 503,
  'caller-gone': 503,
  'host-overload': 503,
  'no-target': 503,
  overload: 503,
  'target-refused': 503,
  'targets-rest': 503,
  'targets-limited': 503,
  'targets-end': 503,
  'targets-unreachable': 503,
  'connect-failed': 503,
  'deadline-not-run': 503,
  deadline: 504,
  'target-failed': 502,
} as const;

export type RefusalReason = keyof typeof STATUS_BY_REASON;

export const REFUSAL_REASONS = Object.keys(STATUS_BY_REASON) as [RefusalReason, ...RefusalReason[]];

/** Final response that this host generates in place of a target. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly detail: string;
  /** `no` only if it is certain that no target has run the request or will run it. */
  readonly ran: 'no' | 'unknown';
  /** Mean delay before a retry; callers get a jittered value. */
  readonly retryAfterSeconds?: number;
  /** True if the delay is a lower bound, so that jitter is only added to it. */
  readonly isLowerBound?: boolean;
  /** Resting targets that caused the refusal; the first few to become available. */
  readonly resting?: readonly string[];
  /** Targets at their limit that caused the refusal. */
  readonly limited?: readonly string[];
}

/** Statuses by which callers are told that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Checks whether callers take a status as the promise that the request does not run. */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/** HTTP status of a refusal; one that promises that the request has not run only if that is so. */
export function statusOf({ reason, ran }: Refusal): number {
  const status = STATUS_BY_REASON[reason];
  return ran === 'unknown' && promisesNotRun(status) ? 502 : status;
}

const CONFIGURATION_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'unknown-route',
  'unknown-key',
  'no-common-region',
  'configuration-unconfirmed',
]);

/** Checks whether this host's knowledge of the configuration alone determined the refusal. */
export function isByConfiguration({ reason }: Pick<Refusal, 'reason'>): boolean {
  return CONFIGURATION_REASONS.has(reason);
}

/** Checks whether a retry is safe and may succeed. */
export function isRetryable({ reason, ran, retryAfterSeconds }: Refusal): boolean {
  return ran === 'no' && (reason !== 'targets-end' || retryAfterSeconds !== undefined);
}

/** Sends a refusal to the caller as a problem document. */
export function sendRefusal(
  { request, response }: Pick<CallerExchange, 'request' | 'response'>,
  refusal: Refusal,
  headers: Readonly<Record<string, string>>,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const { reason, detail, ran, retryAfterSeconds } = refusal;
  const status = statusOf(refusal);
  const body = JSON.stringify({
    type: `urn:ferrylock:problem:${reason}`,
    title: detail,
    status,
    reason,
    ran,
  });
  for (const [name, value] of Object.entries(headers)) {
    response.setHeader(name, value);
  }
  if (retryAfterSeconds !== undefined) {
    response.setHeader('retry-after', retryAfterSeconds.toFixed(2));
  }
  if (!request.complete) {
    // The rest of the body is not read, so the connection cannot be reused.
    response.setHeader('connection', 'close');
  }
  response.writeHead(status, {
    'content-type': PROBLEM_CONTENT_TYPE,
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
