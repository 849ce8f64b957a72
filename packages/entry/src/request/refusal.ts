import type { CallerExchange } from './caller-exchange.js';

/** Media type of a problem document (RFC 9457). */
const PROBLEM_CONTENT_TYPE = 'application/problem+json';

/** Why a request got no target's answer, with the status that says so. */
const STATUS_BY_REASON = {
  'not-ready': 503,
  'unknown-route': 404,
  'unknown-key': 401,
  'no-common-region': 503,
  'over-quota': 429,
  'bad-request': 400,
  'too-large': 413,
  'too-many-bytes-held': 503,
  'caller-gone': 503,
  'no-target': 503,
  overload: 503,
  'target-refused': 503,
  'targets-rest': 503,
  'targets-limited': 503,
  'targets-end': 503,
  'connect-failed': 503,
  'deadline-not-run': 503,
  deadline: 504,
  'target-failed': 502,
} as const;

export type RefusalReason = keyof typeof STATUS_BY_REASON;

/** A final answer of this host's own. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly detail: string;
  /** `no` only where it is certain that no target has run it or will. */
  readonly ran: 'no' | 'unknown';
  /** When it makes sense to ask again, on average: callers are spread around it. */
  readonly retryAfterSeconds?: number;
  /** Whether asking before that time is of no use, so that callers are spread after it. */
  readonly isLowerBound?: boolean;
  /** Targets that rest, where that is why; the first few whose rest ends. */
  readonly resting?: readonly string[];
  /** Targets whose limit is used up, where that is why. */
  readonly limited?: readonly string[];
}

/** The status to answer with; one that promises that nothing ran is given only where that is so. */
export function statusOf({ reason, ran }: Refusal): number {
  const status = STATUS_BY_REASON[reason];
  return ran === 'unknown' && status === 503 ? 502 : status;
}

/** Whether a caller is told when to ask again: nothing ran, and it may be otherwise by then. */
export function isRetryable({ reason, ran, retryAfterSeconds }: Refusal): boolean {
  return ran === 'no' && (reason !== 'targets-end' || retryAfterSeconds !== undefined);
}

/** Answers a caller that gets no target's answer. */
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
    // What is left of the body is not read, so the connection cannot carry another request.
    response.setHeader('connection', 'close');
  }
  response.writeHead(status, {
    'content-type': PROBLEM_CONTENT_TYPE,
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
