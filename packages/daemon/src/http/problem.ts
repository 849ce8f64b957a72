import type { MayHaveRun, NotRun, RefusalReason } from '@ferrylock/steering';

export const PROBLEM_CONTENT_TYPE = 'application/problem+json';

/** The HTTP status of each refusal. */
const STATUS_BY_REASON: Readonly<Record<RefusalReason, number>> = {
  'unknown-service': 404,
  'not-ready': 503,
  'no-target': 503,
  limit: 429,
  overload: 503,
  deadline: 504,
  'too-large': 413,
  'bad-request': 400,
  'not-permitted': 403,
  'key-required': 400,
  'key-used': 409,
  'key-holder-gone': 409,
  'connect-failed': 502,
  'target-shed': 503,
  'target-failed': 502,
  'targets-end': 503,
  'caller-gone': 499,
  stopping: 503,
};

/** An answer for a request that brought none: a problem document (RFC 9457). */
export interface ProblemAnswer {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** Says in a problem document whether the request may have run, and why it was refused. */
export function problemAnswer(verdict: NotRun | MayHaveRun): ProblemAnswer {
  const status = STATUS_BY_REASON[verdict.reason];
  const body = JSON.stringify({
    type: `urn:ferrylock:problem:${verdict.reason}`,
    title: verdict.detail,
    status,
    reason: verdict.reason,
    ran: verdict.kind === 'notRun' ? 'no' : 'unknown',
  });
  const headers: Record<string, string> = {
    'content-type': PROBLEM_CONTENT_TYPE,
    'content-length': String(Buffer.byteLength(body)),
  };
  if (verdict.kind === 'notRun' && verdict.retryAfterSeconds !== undefined) {
    headers['retry-after'] = String(verdict.retryAfterSeconds);
  }
  return { status, headers, body };
}
