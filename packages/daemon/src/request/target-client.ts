import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import { Agent } from 'undici';

/** Idle connections close before most targets would close them, so that none closes under a request. */
const IDLE_MILLISECONDS = 4_000;
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** One try at one target. */
export interface TargetRequest {
  /** Host and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer | Readable | null;
}

/** What happens to a try, in this order. Exactly one of the last two calls ends it. */
export interface TargetExchange {
  /** The connection stands; from here on bytes of the request may have left. */
  started(abort: (reason: Error) => void): void;
  answered(status: number, headers: IncomingHttpHeaders, flow: FlowControl): void;
  data(chunk: Buffer): void;
  ended(): void;
  failed(error: Error): void;
}

/** Holds back and lets flow the answer's body. */
export interface FlowControl {
  pause(): void;
  resume(): void;
}

/** Sends requests to targets. A connection carries one request at a time. */
export class TargetClient {
  readonly #agent = new Agent({
    connections: null,
    pipelining: 1,
    keepAliveTimeout: IDLE_MILLISECONDS,
    keepAliveMaxTimeout: IDLE_MILLISECONDS,
    connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  send(request: TargetRequest, exchange: TargetExchange): void {
    this.#agent.dispatch(
      {
        origin: `http://${request.address}`,
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
      },
      {
        onRequestStart: (controller) => {
          exchange.started((reason) => {
            controller.abort(reason);
          });
        },
        onResponseStart: (controller, status, headers) => {
          if (status >= 200) {
            exchange.answered(status, headers, controller);
          }
        },
        onResponseData: (_controller, chunk) => {
          exchange.data(chunk);
        },
        onResponseEnd: () => {
          exchange.ended();
        },
        onResponseError: (_controller, error) => {
          exchange.failed(error);
        },
      },
    );
  }

  /** Cuts all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
