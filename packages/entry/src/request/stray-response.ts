import type { ResponseMetadata } from './header-codec.js';

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

/** The request that a response is expected to belong to. */
export interface ExpectedRequest {
  readonly requestId: string;
  /** Whether no other request was sent on the connection. */
  readonly isFirstOnConnection: boolean;
}

/**
 * Checks whether a response belongs to a request, by the id that it names. Nothing that another
 * response tells may be believed of this request or taken as the target's present state: targets
 * may send surplus responses late. A refusal without an id counts if its connection carried no
 * other request.
 */
export function findStray(
  status: number,
  { requestId, isNotRun, isOtherTarget }: ResponseMetadata,
  expected: ExpectedRequest,
): StrayResponse | undefined {
  const isRefusal = isNotRun || isOtherTarget;
  if (requestId === expected.requestId) {
    return undefined;
  }
  if (requestId === undefined && isRefusal && expected.isFirstOnConnection) {
    return undefined;
  }
  const refusalKind = isOtherTarget ? 'misdirected' : 'refusal';
  const kind = isRefusal ? refusalKind : 'answer';
  return requestId === undefined
    ? new StrayResponse(kind, 'missing', `a ${kind} with status ${status} names no request`)
    : new StrayResponse(kind, 'other', `a ${kind} with status ${status} is to ${requestId}`);
}
