import type { IncomingHttpHeaders } from 'node:http';
import type { buildConnector as BuildConnector } from 'undici';
import { Agent, buildConnector } from 'undici';
import type { Clock } from '@ferrylock/utils';

/** How long an idle connection is kept at a target that does not say how long it keeps it. */
const IDLE_MILLISECONDS = 4_000;
/**
 * Longest that an idle connection is kept, whatever its target says. Until then the target's own
 * time counts, less the transport's margin of two seconds, so that none closes under a request.
 */
const LONGEST_IDLE_MILLISECONDS = 60_000;
/** Several times the way between two regions and back; a silent target costs no more than this. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/** Lower statuses are informational: the answer comes after them (RFC 9110, 15.2). */
const FIRST_FINAL_STATUS = 200;

/** One send of a request to one target. */
export interface TargetRequest {
  /** IP number and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer | undefined;
  /** Whether it is to have a connection of its own. */
  readonly usesOwnConnection: boolean;
  /** Whether the target still wants it; asked when it has a connection. */
  readonly isStillAllowed: () => boolean;
  /** Looks at the head of the answer; an error says that it is not the answer to this request. */
  readonly checkHead: (status: number, headers: IncomingHttpHeaders) => Error | undefined;
}

/** A target's whole answer. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /**
   * Whether the answer itself says where it ends. One that ends with its connection may have been
   * broken off by its target, without a sign.
   */
  readonly isDelimited: boolean;
}

/** What became of one send. */
export type SendOutcome =
  | { readonly kind: 'answered'; readonly answer: TargetResponse }
  /** No byte of the request has left. */
  | { readonly kind: 'not-sent'; readonly error: Error }
  /** Bytes have left and no whole answer came. */
  | { readonly kind: 'broken'; readonly error: Error };

/** A send that was ended from this side. */
export class SendCancelled extends Error {}

/** A send that its target no longer wanted when it had a connection. */
export class SendNotAllowed extends Error {}

/** A send under way. */
export interface SendHandle {
  readonly outcome: Promise<SendOutcome>;
  /** When its first byte left; undefined before. */
  readonly startedAt: number | undefined;
  /** Ends it; the target sees its connection close. */
  cancel(): void;
}

export interface TargetClientOptions {
  readonly clock: Clock;
  /** Told how long a connection to an address took to come up. */
  readonly onConnected: (address: string, milliseconds: number) => void;
}

/** Sends requests to targets. A connection carries one request at a time. */
export class TargetClient {
  readonly #options: TargetClientOptions;
  /** Set while the transport is told that a connection was reset. */
  #isReset = false;
  readonly #connect = this.#connector();
  readonly #agent = new Agent({
    connections: null,
    pipelining: 1,
    keepAliveTimeout: IDLE_MILLISECONDS,
    keepAliveMaxTimeout: LONGEST_IDLE_MILLISECONDS,
    connect: this.#connect,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  /** Its connections carry one request each. */
  readonly #loneAgent = new Agent({
    connections: null,
    pipelining: 1,
    connect: this.#connect,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  constructor(options: TargetClientOptions) {
    this.#options = options;
  }

  send(request: TargetRequest): SendHandle {
    let abort: ((error: Error) => void) | undefined;
    let isCancelled = false;
    let startedAt: number | undefined;
    let settle: (outcome: SendOutcome) => void = () => undefined;
    const outcome = new Promise<SendOutcome>((resolve) => {
      settle = resolve;
      const chunks: Buffer[] = [];
      let status = 0;
      let headers: IncomingHttpHeaders = {};
      const { address, method, path, body, usesOwnConnection: isAlone } = request;
      (isAlone ? this.#loneAgent : this.#agent).dispatch(
        {
          origin: `http://${address}`,
          method,
          path,
          headers: request.headers,
          body: body ?? null,
          reset: isAlone,
        },
        {
          onRequestStart: (controller) => {
            if (isCancelled || startedAt !== undefined) {
              // Never sent a second time by the transport, and not at all once it was given up.
              controller.abort(new SendCancelled('ended before it was sent'));
              return;
            }
            if (!request.isStillAllowed()) {
              // It waited for its connection, for up to 0.3 s, while the target spoke.
              controller.abort(
                new SendNotAllowed('the target asked for rest or for less meanwhile'),
              );
              return;
            }
            startedAt = this.#options.clock.now();
            abort = (error) => {
              controller.abort(error);
            };
          },
          onResponseStart: (controller, statusCode, answerHeaders) => {
            if (statusCode < FIRST_FINAL_STATUS) {
              return;
            }
            status = statusCode;
            headers = answerHeaders;
            const fault = request.checkHead(status, headers);
            if (fault !== undefined) {
              controller.abort(fault);
            }
          },
          onResponseData: (_controller, chunk) => {
            chunks.push(chunk);
          },
          onResponseEnd: () => {
            if (this.#isReset && !isDelimited(headers)) {
              resolve({ kind: 'broken', error: new Error('reset before the end of the answer') });
              return;
            }
            const body = Buffer.concat(chunks);
            const answer = { status, headers, body, isDelimited: isDelimited(headers) };
            resolve({ kind: 'answered', answer });
          },
          onResponseError: (_controller, error) => {
            resolve({ kind: startedAt === undefined ? 'not-sent' : 'broken', error });
          },
        },
      );
    });
    const cancel = (): void => {
      isCancelled = true;
      const error = new SendCancelled('given up');
      if (abort === undefined) {
        settle({ kind: 'not-sent', error });
      } else {
        abort(error);
      }
    };
    return {
      outcome,
      cancel,
      get startedAt() {
        return startedAt;
      },
    };
  }

  /**
   * Makes connections that tell when they are reset. The transport takes what came before a reset
   * for a whole answer where the answer has no length; it calls back while it hears of the reset.
   */
  #connector(): BuildConnector.connector {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS });
    return (options, callback) => {
      const { clock, onConnected } = this.#options;
      const startedAt = clock.now();
      connect(options, (...result) => {
        if (result[1] !== null) {
          onConnected(`${options.hostname}:${options.port}`, clock.now() - startedAt);
        }
        result[1]?.prependListener('error', () => {
          this.#isReset = true;
          process.nextTick(() => {
            this.#isReset = false;
          });
        });
        callback(...result);
      });
    };
  }

  /** Cuts all connections. */
  async close(): Promise<void> {
    await Promise.all([this.#agent.destroy(), this.#loneAgent.destroy()]);
  }
}

/** Whether the answer itself says where it ends. */
function isDelimited(headers: IncomingHttpHeaders): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
