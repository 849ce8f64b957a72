import type { IncomingHttpHeaders } from 'node:http';

/** What a caller says with its request, besides method, path and body. */
export interface RequestMetadata {
  /** Names this try of the caller; undefined where it is missing. */
  readonly requestId: string | undefined;
  /** How long the caller waits; undefined where it does not say, NaN where it makes no sense. */
  readonly deadlineMilliseconds: number | undefined;
  /** Names the object that the request is about. */
  readonly affinityKey: string | undefined;
  /** Shows which client account it comes from; secret, and never passed on or written down. */
  readonly accountKey: string | undefined;
}

/** What a target is told with a request, besides what the caller sent. */
export interface ForwardMetadata {
  /** How long the target may work on it. */
  readonly deadlineMilliseconds: number;
  /** The start of the target that alone is to run it. */
  readonly targetId: string;
  /** The client account that the request comes from; undefined where callers need none. */
  readonly accountName: string | undefined;
}

/** What a target's answer says of itself, besides status and body. */
export interface ResponseMetadata {
  /** The request's id as the target gives it back; undefined where it does not. */
  readonly requestId: string | undefined;
  /** The target's word that it has not run the request and will not. */
  readonly isNotRun: boolean;
  /** Another start of a target answers at this address. */
  readonly isOtherTarget: boolean;
  /** Whether the answer bears the target's mark; a success without one is not the target's. */
  readonly isSigned: boolean;
  /** Requests running and waiting there. */
  readonly load: number | undefined;
  /** The target stays slow for this much longer. */
  readonly coldMilliseconds: number | undefined;
  /** The target says that it is about to stop and wants no new requests. */
  readonly isLeaving: boolean;
  /**
   * The target turned the request away and wants none from this host for so long; undefined where it does not say, NaN
   * where it makes no sense.
   */
  readonly restMilliseconds: number | undefined;
  /**
   * Requests a second that the target takes from all hosts together, for as long as its answers say so; undefined where
   * this one does not, NaN where it makes no sense.
   */
  readonly limitPerSecond: number | undefined;
  /** Names of headers that are meant for hosts and that this host does not know. */
  readonly unknownHeaders: readonly string[];
}

/** How callers and targets name what they say in headers. */
export interface HeaderCodec {
  /** Names of callers' headers that end here, in lower case. */
  readonly consumedHeaders: ReadonlySet<string>;
  decodeRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** Headers that go to the target in place of the caller's of the same names. */
  encodeForward(instruction: ForwardMetadata): Record<string, string>;
  decodeResponse(status: number, headers: IncomingHttpHeaders): ResponseMetadata;
  /** Headers of an answer that this host gives itself. */
  localReplyHeaders(requestId: string | undefined): Record<string, string>;
}
