import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { buildConnector as BuildConnector } from 'undici';
import { Agent, buildConnector } from 'undici';
import type { Clock } from '@ferrylock/utils';
import { splitAddress } from '../address.js';
import type { AnswerSource } from '../transfers/answer-transfer.js';
import { ByteBudget } from '../transfers/byte-budget.js';
import { HeldAnswer } from '../transfers/held-answer.js';
import { releaseWhenClosed } from '../transfers/release-when-closed.js';
import { isDelimited } from './is-delimited.js';
import type { ConnectionControl, ConnectionUse } from './connection-uses.js';
import { ConnectionUses } from './connection-uses.js';
import { AnswerReset } from './answer-reset.js';
import { EndlessAnswer } from './endless-answer.js';

/** Keep-alive timeout for targets that do not advertise one. */
const KEEP_ALIVE_MILLISECONDS = 4_000;
/**
 * Upper bound for keep-alive timeouts advertised by targets. The transport closes idle connections
 * two seconds before the advertised timeout, so that the target does not close one under a request.
 */
const MAX_KEEP_ALIVE_MILLISECONDS = 60_000;
/**
 * The framing guard ends an answer before its fields come to this size. The transport makes an error
 * of each field beyond it, which costs more processor time than the fields.
 */
const MAX_HEADER_BYTES = 1024 * 1024;
/** Several round trips between two regions. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/** Bound on a body that is passed on as it comes if its length is not declared. */
const MAX_PASSED_BYTES = 24 * 1024 * 1024;
/** Bound on the declared length of such a body; no caller takes more within its time. */
const MAX_DECLARED_BYTES = 256 * 1024 * 1024;

/** Lower statuses are informational and precede the final response (RFC 9110, 15.2). */
const FIRST_FINAL_STATUS = 200;
/** Its head declares the length of a body that does not follow. */
const NOT_MODIFIED = 304;

/** Head of a response. */
export type ResponseHead = Pick<TargetResponse, 'status' | 'headers'>;

/** Takes the body of a response as it comes, in place of having it kept whole. */
export interface ResponseReceiver {
  /** @returns whether it takes the body of this response */
  begin(head: ResponseHead, source: AnswerSource): boolean;
  push(chunk: Buffer): void;
  /** @returns the whole body if none of it was passed on */
  complete(): Buffer | undefined;
  breakOff(): void;
}

/** A request to one target. */
export interface TargetRequest {
  /** IP address and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer | undefined;
  /** True if the request needs a new connection that is not reused. */
  readonly usesOwnConnection: boolean;
  /** True if the request may still be sent; checked once a connection is available. */
  readonly isStillAllowed: () => boolean;
  /** Checks the response head; an error means that the response is not for this request. */
  readonly checkHead: (status: number, headers: IncomingHttpHeaders) => Error | undefined;
  /** Takes the bodies of responses with a known end; absent if these are kept whole. */
  readonly receiver?: ResponseReceiver | undefined;
  /** Response to the caller; a body that is kept whole counts as held until it is closed. */
  readonly caller?: ServerResponse | undefined;
}

/** Complete response of a target. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /**
   * True if the length of the body is declared or chunked. Another body ends with the connection,
   * which was not reset.
   */
  readonly isDelimited: boolean;
  /** True if the body was passed on as it came, and is empty here. */
  readonly isPassedOn?: boolean;
}

/** Outcome of one send. */
export type SendOutcome =
  | { readonly kind: 'answered'; readonly response: TargetResponse }
  /** No byte of the request was sent. */
  | { readonly kind: 'not-sent'; readonly error: Error }
  /** Bytes were sent, but no complete response was received. */
  | { readonly kind: 'broken'; readonly error: Error };

/** The send was cancelled by this host. */
export class SendCancelled extends Error {}

/** The target stopped accepting the request while it waited for a connection. */
export class SendNotAllowed extends Error {}

/** Handle of a send in flight. */
export interface SendHandle {
  readonly outcome: Promise<SendOutcome>;
  /** Monotonic time at which the first byte was sent; undefined before. */
  readonly startedAt: number | undefined;
  /** Connection that the request was sent on; undefined before. */
  readonly connectionUse: ConnectionUse | undefined;
  /** Cancels the send by closing its connection. */
  cancel(): void;
}

/** Maps the address in a target's record to the one that this host connects to. */
export type Dial = (address: string) => string;

export interface TargetClientOptions {
  readonly clock: Clock;
  /** Absent if hosts connect to the addresses in the records. */
  readonly dial?: Dial | undefined;
  /** Called with the time that establishing a connection to an address took. */
  readonly onConnected: (address: string, milliseconds: number) => void;
  /** Bounds the memory of bodies that are kept whole; absent if nothing does. */
  readonly budget?: ByteBudget | undefined;
  /** Called when an answer is cut off since it exceeds a bound. */
  readonly onCut?: ((error: Error) => void) | undefined;
}

/** Part of the transport's control of a send. */
interface Abortable {
  abort(error: Error): void;
}

/** Sends requests to targets, one at a time per connection. */
export class TargetClient {
  /** Number of answers without a length that a reset broke off. */
  resetAnswers = 0;
  readonly #options: TargetClientOptions;
  readonly #openConnections = new Map<string, number>();
  readonly #uses = new ConnectionUses();
  readonly #connect = this.#connector();
  readonly #agent = new Agent({
    connections: null,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    keepAliveMaxTimeout: MAX_KEEP_ALIVE_MILLISECONDS,
    connect: this.#connect,
    headersTimeout: 0,
    bodyTimeout: 0,
    maxHeaderSize: MAX_HEADER_BYTES,
  });
  /** Agent without connection reuse. */
  readonly #singleUseAgent = new Agent({
    connections: null,
    pipelining: 1,
    connect: this.#connect,
    headersTimeout: 0,
    bodyTimeout: 0,
    maxHeaderSize: MAX_HEADER_BYTES,
  });

  readonly #budget: ByteBudget;

  constructor(options: TargetClientOptions) {
    this.#options = options;
    this.#budget = options.budget ?? new ByteBudget(Infinity);
  }

  send(request: TargetRequest): SendHandle {
    let abort: ((error: Error) => void) | undefined;
    let isCancelled = false;
    let startedAt: number | undefined;
    let connectionUse: ConnectionUse | undefined;
    let settle: (outcome: SendOutcome) => void = () => undefined;
    const outcome = new Promise<SendOutcome>((resolve) => {
      settle = resolve;
      const held = new HeldAnswer(this.#budget);
      let connection: ConnectionControl | undefined;
      let passedBytes = 0;
      let status = 0;
      let headers: IncomingHttpHeaders = {};
      let receiver: ResponseReceiver | undefined;
      const { address, method, path, body, usesOwnConnection } = request;
      (usesOwnConnection ? this.#singleUseAgent : this.#agent).dispatch(
        {
          origin: `http://${address}`,
          method,
          path,
          headers: request.headers,
          body: body ?? null,
          reset: usesOwnConnection,
        },
        {
          onRequestStart: (controller) => {
            const isAllowed = startedAt === undefined && !isCancelled && request.isStillAllowed();
            // The check itself may have led to the cancellation, which was told as not sent.
            if (isCancelled || startedAt !== undefined) {
              // The transport must not resend a request, nor send one after it was cancelled.
              controller.abort(new SendCancelled('ended before it was sent'));
              return;
            }
            if (!isAllowed) {
              // The target's signals changed while the request waited for a connection.
              controller.abort(
                new SendNotAllowed('the target asked for rest or for less meanwhile'),
              );
              return;
            }
            startedAt = this.#options.clock.now();
            this.#uses.expect((use, control) => {
              connectionUse = use;
              connection = control;
              control.framing.begin((error) => {
                this.#cut(controller, error);
              });
            });
            abort = (error) => {
              controller.abort(error);
            };
          },
          onResponseStart: (controller, statusCode, responseHeaders) => {
            if (statusCode < FIRST_FINAL_STATUS) {
              return;
            }
            status = statusCode;
            headers = responseHeaders;
            connection?.framing.recordHead();
            const error = request.checkHead(status, headers);
            if (error !== undefined) {
              controller.abort(error);
              return;
            }
            const source = staysOpen(headers) ? controller : (connection?.gate ?? controller);
            const takesBody =
              isDelimited(headers) && request.receiver?.begin({ status, headers }, source);
            receiver = takesBody === true ? request.receiver : undefined;
            const length = bodyLength(method, status, headers);
            this.#cut(
              controller,
              receiver === undefined ? held.begin(length) : checkDeclared(length),
            );
          },
          onResponseData: (controller, chunk) => {
            connection?.framing.recordBody(chunk.length);
            passedBytes += receiver === undefined ? 0 : chunk.length;
            receiver?.push(chunk);
            const error =
              receiver === undefined ? held.push(chunk) : checkPassed(passedBytes, headers);
            this.#cut(controller, error);
          },
          onResponseEnd: () => {
            endAnswer(connection);
            if (!isDelimited(headers) && connection?.wasReset() === true) {
              held.drop();
              this.resetAnswers++;
              resolve({ kind: 'broken', error: new AnswerReset() });
              return;
            }
            const body = receiver === undefined ? held.take() : receiver.complete();
            releaseWhenClosed(request.caller, () => {
              held.release();
            });
            const response = {
              status,
              headers,
              body: body ?? Buffer.alloc(0),
              isDelimited: isDelimited(headers),
              ...(body === undefined ? { isPassedOn: true } : {}),
            };
            resolve({ kind: 'answered', response });
          },
          onResponseError: (_controller, error) => {
            endAnswer(connection);
            held.drop();
            receiver?.breakOff();
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
      get connectionUse() {
        return connectionUse;
      },
    };
  }

  /** Ends the connection of an answer that exceeds a bound. */
  #cut(controller: Abortable, error: Error | undefined): void {
    if (error !== undefined) {
      this.#options.onCut?.(error);
      controller.abort(error);
    }
  }

  /** Creates connections to the addresses that this host dials, and counts them. */
  #connector(): BuildConnector.connector {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS });
    return (options, callback) => {
      const { clock, dial, onConnected } = this.#options;
      const startedAt = clock.now();
      const address = `${options.hostname}:${options.port}`;
      const { host: hostname, port } = splitAddress(dial?.(address) ?? address);
      connect({ ...options, hostname, port: String(port) }, (...result) => {
        if (result[1]) {
          this.#countConnection(address, result[1]);
          onConnected(address, clock.now() - startedAt);
        }
        callback(...result);
      });
    };
  }

  /** Number of open connections to a target. */
  openConnections(address: string): number {
    return this.#openConnections.get(address) ?? 0;
  }

  #countConnection(address: string, socket: Socket): void {
    this.#openConnections.set(address, this.openConnections(address) + 1);
    socket.once('close', () => {
      const others = this.openConnections(address) - 1;
      if (others > 0) {
        this.#openConnections.set(address, others);
      } else {
        this.#openConnections.delete(address);
      }
    });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    this.#uses.close();
    await Promise.all([this.#agent.destroy(), this.#singleUseAgent.destroy()]);
  }
}

/** Declared length of the body that follows a head; undefined if none is, or no body follows. */
function bodyLength(
  method: string,
  status: number,
  headers: IncomingHttpHeaders,
): string | undefined {
  return method === 'HEAD' || status === NOT_MODIFIED ? undefined : headers['content-length'];
}

/**
 * Whether the transport is sure to keep the connection after the answer. Otherwise its pause must not
 * be used, see {@link ReadingGate}; where it may be, it keeps less in memory.
 */
function staysOpen(headers: IncomingHttpHeaders): boolean {
  const coding = headers['transfer-encoding'];
  const isFramed = coding === undefined || coding === 'chunked';
  return isFramed && headers.connection?.toLowerCase() === 'keep-alive';
}

function endAnswer(connection: ConnectionControl | undefined): void {
  connection?.framing.end();
  connection?.gate.open();
}

function checkDeclared(length: string | undefined): Error | undefined {
  return Number(length ?? 0) > MAX_DECLARED_BYTES ? tooLong(MAX_DECLARED_BYTES) : undefined;
}

function checkPassed(bytes: number, headers: IncomingHttpHeaders): Error | undefined {
  const isUndeclared = headers['content-length'] === undefined;
  return bytes > MAX_PASSED_BYTES && isUndeclared ? tooLong(MAX_PASSED_BYTES) : undefined;
}

function tooLong(maxBytes: number): EndlessAnswer {
  return new EndlessAnswer('body', `the body of the answer exceeds ${maxBytes} bytes`);
}
