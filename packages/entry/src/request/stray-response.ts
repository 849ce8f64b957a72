import type { ResponseMetadata } from './header-codec.js';
import type { ExpectedRequest } from './not-run-proof.js';
import { provesNotRun } from './not-run-proof.js';

/** What a response that belongs to another request says of that one. */
export type StrayKind = 'refusal' | 'misdirected' | 'answer';
/** How the response names its request. */
export type StrayId = 'other' | 'missing';

/** A response that is not shown to be the one to the request that was sent. */
export class StrayResponse extends Error {
  constructor(
    readonly strayKind: StrayKind,
    readonly strayId: StrayId,
    message: string,
  ) {
    super(message);
  }
}

/**
 * Checks whether a response belongs to a request, by the id that it names. Nothing that another
 * response tells may be believed of this request or taken as the target's present state: targets
 * may send surplus responses late. A response without an id counts if it proves by itself that
 * the request has not run.
 */
export function findStray(
  status: number,
  metadata: ResponseMetadata,
  expected: ExpectedRequest,
): StrayResponse | undefined {
  const { requestId, isNotRun, isOtherTarget } = metadata;
  if (requestId === expected.requestId || provesNotRun(status, metadata, expected)) {
    return undefined;
  }
  const refusalKind = isOtherTarget ? 'misdirected' : 'refusal';
  const kind = isNotRun || isOtherTarget ? refusalKind : 'answer';
  return requestId === undefined
    ? new StrayResponse(kind, 'missing', `a ${kind} with status ${status} names no request`)
    : new StrayResponse(kind, 'other', `a ${kind} with status ${status} is to ${requestId}`);
}
