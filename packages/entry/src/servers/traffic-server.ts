import type { IncomingMessage, ServerResponse } from 'node:http';
import { Server } from 'node:net';
import type { Socket } from 'node:net';
import type { CallerLimits } from '@ferrylock/routing';
import type { FastifyInstance } from 'fastify';
import { splitAddress } from '../address.js';
import { CallerConnections } from './caller-connections.js';
import { createServerApp } from './create-server-app.js';
import type { SharedServerParts } from './create-server-app.js';

/** Size limit of request headers in the HTTP parser; a configuration may only lower it. */
const MAX_HEADERS_BYTES = 64 * 1024;
/** Connections of callers for each of another port, when there are no more. */
const CONNECTION_WEIGHT = 12;
/** Timeouts that apply until a configuration is known. */
const INITIAL_HEADER_TIMEOUT_MILLISECONDS = 10_000;
const INITIAL_IDLE_TIMEOUT_MILLISECONDS = 15_000;

export interface TrafficServerOptions {
  readonly shared: SharedServerParts;
  readonly handle: (
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
  ) => Promise<void>;
  readonly onFailure: (error: unknown) => void;
  /** Called for each connection that was accepted. */
  readonly onConnection?: () => void;
  /** Interval of the checks for heads that do not end in time; absent for the HTTP server's own. */
  readonly headerCheckMilliseconds?: number;
}

/** Accepts callers' connections and passes on each request with its body unread. */
export class TrafficServer {
  readonly #app: FastifyInstance;
  #maxHeaderBytes = MAX_HEADERS_BYTES;
  readonly #connections = new CallerConnections();

  constructor(options: TrafficServerOptions) {
    this.#app = createServerApp({
      shared: options.shared,
      name: 'traffic',
      connectionWeight: CONNECTION_WEIGHT,
      maxHeaderBytes: MAX_HEADERS_BYTES,
      headerCheckMilliseconds: options.headerCheckMilliseconds,
      app: {
        forceCloseConnections: false,
        // Fastify must not interpret callers' paths: one handler serves all of them.
        rewriteUrl: () => '/',
        clientErrorHandler: (error, socket) => {
          this.#respondToMalformed(error, socket);
        },
      },
    });
    const { server } = this.#app;
    server.headersTimeout = INITIAL_HEADER_TIMEOUT_MILLISECONDS;
    server.keepAliveTimeout = INITIAL_IDLE_TIMEOUT_MILLISECONDS;
    this.#app.addHook('onRequest', async (request, reply) => {
      reply.hijack();
      const { raw } = request;
      if (!this.#connections.begin(raw.socket, reply.raw)) {
        return;
      }
      if (headerBytes(raw) > this.#maxHeaderBytes) {
        reply.raw.setHeader('connection', 'close');
        reply.raw.writeHead(431, { 'content-length': 0 }).end();
        return;
      }
      await options.handle(raw, reply.raw, request.originalUrl).catch((error: unknown) => {
        options.onFailure(error);
        reply.raw.destroy();
      });
    });
    this.#app.server.on('connection', (socket: Socket) => {
      this.#connections.add(socket);
      options.onConnection?.();
    });
    this.#app.all('/', (_request, reply) => {
      reply.hijack();
    });
  }

  async listen(address: string): Promise<string> {
    const { host, port } = splitAddress(address);
    await this.#app.listen({ host, port });
    const bound = this.#app.server.address();
    return typeof bound === 'object' && bound !== null ? `${host}:${bound.port}` : address;
  }

  setLimits(limits: CallerLimits): void {
    const { server } = this.#app;
    this.#maxHeaderBytes = limits.mostHeaderBytes;
    server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
    server.headersTimeout = limits.headerTimeoutMilliseconds;
  }

  /** Number of responses that callers' connections have not taken whole. */
  get openResponses(): number {
    return this.#connections.openResponses;
  }

  /** Closes each connection after the responses that are due, so that callers go to other hosts. */
  beginDraining(): void {
    this.#connections.drain();
  }

  /** Stops accepting connections and closes idle ones. */
  closeIdleConnections(): void {
    // The HTTP server's own method takes connections for idle that are still sending an answer.
    Server.prototype.close.call(this.#app.server);
    this.#connections.closeIdle();
  }

  /** Responds to malformed requests and to headers that are too large or too slow. */
  #respondToMalformed(error: Error & { code?: string }, socket: Socket): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const status = statusOfMalformed(error.code);
    this.#connections.endWith(
      socket,
      `HTTP/1.1 ${status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`,
    );
  }

  async close(): Promise<void> {
    this.#app.server.closeAllConnections();
    await this.#app.close();
  }
}

function headerBytes({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function statusOfMalformed(code: string | undefined): string {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return '431 Request Header Fields Too Large';
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return '408 Request Timeout';
    default:
      return '400 Bad Request';
  }
}
