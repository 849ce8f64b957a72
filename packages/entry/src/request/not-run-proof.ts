import type { ResponseMetadata } from './header-codec.js';

/** Statuses with which a target refuses a request; beside any other, its mark proves nothing. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([400, 408, 421, 429, 503]);

/** The request that a response is expected to belong to. */
export interface ExpectedRequest {
  readonly requestId: string;
  /** Whether no other request was sent on the connection. */
  readonly isFirstOnConnection: boolean;
}

/**
 * Checks whether a response proves that its target has not run the request and never will: it names
 * the request, has the target's mark, and a status that refuses. A response without an id counts if
 * its connection carried no other request. Nothing else that a target sends proves it.
 */
export function provesNotRun(
  status: number,
  { requestId, isNotRun }: Pick<ResponseMetadata, 'requestId' | 'isNotRun'>,
  expected: ExpectedRequest,
): boolean {
  const isToRequest =
    requestId === undefined ? expected.isFirstOnConnection : requestId === expected.requestId;
  return isToRequest && isNotRun && REFUSAL_STATUSES.has(status);
}
