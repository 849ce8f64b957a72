import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits } from '@ferrylock/routing';
import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { splitAddress } from '../address.js';
import { SCHEMALESS_SERVER_OPTIONS } from './schemaless-server-options.js';

/** Longest headers that are read at all, whatever a later configuration allows. */
const LONGEST_HEADERS_BYTES = 64 * 1024;
/** Limits until a configuration tells others; those of common servers. */
const FIRST_HEADER_TIMEOUT_MILLISECONDS = 10_000;
const FIRST_IDLE_MILLISECONDS = 15_000;

export interface TrafficServerOptions {
  readonly handle: (
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
  ) => Promise<void>;
  readonly onFailure: (error: unknown) => void;
}

/** Takes callers' connections. It hands each request on as it came and reads nothing of its body. */
export class TrafficServer {
  readonly #app: FastifyInstance;
  #mostHeaderBytes = LONGEST_HEADERS_BYTES;
  /** Answers that are still to be given. */
  readonly #underWay = new Set<ServerResponse>();
  #isLeaving = false;

  constructor(options: TrafficServerOptions) {
    this.#app = Fastify({
      ...SCHEMALESS_SERVER_OPTIONS,
      requestTimeout: 0,
      keepAliveTimeout: FIRST_IDLE_MILLISECONDS,
      forceCloseConnections: false,
      // Callers' paths are not the framework's to understand: one handler takes them all.
      rewriteUrl: () => '/',
      http: {
        maxHeaderSize: LONGEST_HEADERS_BYTES,
        headersTimeout: FIRST_HEADER_TIMEOUT_MILLISECONDS,
      },
      clientErrorHandler: answerMalformed,
    });
    this.#app.removeAllContentTypeParsers();
    this.#app.addHook('onRequest', async (request, reply) => {
      reply.hijack();
      const { raw } = request;
      this.#watch(reply.raw);
      if (headerBytes(raw) > this.#mostHeaderBytes) {
        reply.raw.writeHead(431, { connection: 'close', 'content-length': 0 }).end();
        return;
      }
      await options.handle(raw, reply.raw, request.originalUrl).catch((error: unknown) => {
        options.onFailure(error);
        reply.raw.destroy();
      });
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
    this.#mostHeaderBytes = limits.mostHeaderBytes;
    server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
    server.headersTimeout = limits.headerTimeoutMilliseconds;
  }

  /** From now on each answer closes its connection, so that callers come back elsewhere. */
  beginDraining(): void {
    this.#isLeaving = true;
    for (const response of this.#underWay) {
      closeAfter(response);
    }
  }

  /** Takes no further connections and closes those that carry no request. */
  closeIdleConnections(): void {
    this.#app.server.close();
    this.#app.server.closeIdleConnections();
  }

  #watch(response: ServerResponse): void {
    if (this.#isLeaving) {
      closeAfter(response);
      return;
    }
    this.#underWay.add(response);
    response.once('close', () => {
      this.#underWay.delete(response);
    });
  }

  async close(): Promise<void> {
    this.#app.server.closeAllConnections();
    await this.#app.close();
  }
}

/** Lets the answer end its connection, where its head has not left yet. */
function closeAfter(response: ServerResponse): void {
  if (!response.headersSent) {
    response.setHeader('connection', 'close');
  }
}

function headerBytes({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

/** Answers bytes that are no HTTP request, or whose headers are too long or too late. */
function answerMalformed(error: Error & { code?: string }, socket: Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const status = statusOfMalformed(error.code);
  socket.end(`HTTP/1.1 ${status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`);
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
