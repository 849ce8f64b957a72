import type { IncomingHttpHeaders } from 'node:http';
import type { LoadReading } from '@ferrylock/routing';

/** Metadata that a caller sends in request headers. */
export interface RequestMetadata {
  /** Identifies this attempt of the caller; undefined if missing. */
  readonly requestId: string | undefined;
  /** Time that the caller waits; undefined if missing, NaN if invalid. */
  readonly deadlineMilliseconds: number | undefined;
  /** Identifies the object that the request is about. */
  readonly affinityKey: string | undefined;
  /** Secret key of the client account; never forwarded or logged. */
  readonly accountKey: string | undefined;
}

/** Metadata that is added to a request when it is forwarded. */
export interface ForwardMetadata {
  /** Time that the target may spend on the request. */
  readonly deadlineMilliseconds: number;
  /** Only this target may run the request. */
  readonly targetId: string;
  /** Client account of the caller; undefined if callers do not need one. */
  readonly accountName: string | undefined;
}

/** Metadata that a target sends in response headers. */
export interface ResponseMetadata {
  /** Request id as echoed by the target; undefined if missing. */
  readonly requestId: string | undefined;
  /** True if the response has the mark of a request that its target has not run and will not. */
  readonly isNotRun: boolean;
  /** The header with that mark as received, for the log; undefined if missing. */
  readonly notRunMark?: string | undefined;
  /** True if that header has another value than the mark. */
  readonly isNotRunMarkMalformed?: boolean;
  /** True if the response says that another target or incarnation answers at this address. */
  readonly isOtherTarget: boolean;
  /** Id of the target that sent the response, if it names itself. */
  readonly targetId?: string | undefined;
  /** True if the response is signed; a success without a signature is not from the target. */
  readonly isSigned: boolean;
  /** Load of the target; undefined if missing. */
  readonly load: LoadReading | undefined;
  /** True if a part of the load could not be read. */
  readonly isLoadMalformed?: boolean;
  /** Remaining warm-up time of the target. */
  readonly coldMilliseconds: number | undefined;
  /** True if the target is shutting down and takes no new requests. */
  readonly isLeaving: boolean;
  /**
   * Back-off that the target requests from this host (its "rest"); undefined if missing, NaN if
   * invalid.
   */
  readonly restMilliseconds: number | undefined;
  /**
   * Requests per second that the target accepts from all hosts together; valid until a response
   * omits it. Undefined if missing, NaN if invalid.
   */
  readonly limitPerSecond: number | undefined;
  /** Names of headers addressed to hosts that this host does not support. */
  readonly unknownHeaders: readonly string[];
}

/** Encodes and decodes the headers by which callers, entry hosts and targets exchange metadata. */
export interface HeaderCodec {
  /** Names of request headers that are not forwarded, in lower case. */
  readonly consumedHeaders: ReadonlySet<string>;
  /**
   * Names of response headers that are not forwarded, in lower case: a response that is forwarded may
   * be one to a request that has run, whatever its headers say.
   */
  readonly consumedResponseHeaders: ReadonlySet<string>;
  decodeRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** Encodes headers that replace the caller's headers of the same names. */
  encodeForward(metadata: ForwardMetadata): Record<string, string>;
  decodeResponse(status: number, headers: IncomingHttpHeaders): ResponseMetadata;
  /** Headers of a response that this host generates itself. */
  localReplyHeaders(requestId: string | undefined): Record<string, string>;
}
