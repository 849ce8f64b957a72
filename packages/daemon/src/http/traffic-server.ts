import type { AddressInfo, Socket } from 'node:net';
import { randomUUID } from 'node:crypto';
import type { ConfigurationSync } from '@ferrylock/control';
import { CallerConnections } from '@ferrylock/entry';
import { ipAddressSchema } from '@ferrylock/schema';
import { notRun } from '@ferrylock/steering';
import type { NotRun } from '@ferrylock/steering';
import Fastify from 'fastify';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import type { KeyRegister } from '../request/key-register.js';
import type { RequestPath } from '../request/request-path.js';
import type { LookupService } from '../services/lookup-service.js';
import type { ServiceDirectory } from '../services/service-directory.js';
import type { ServiceRuntime } from '../services/service-runtime.js';
import { joinAddress, splitAddress } from './address.js';
import { REQUEST_ID_HEADER } from './headers.js';
import { problemAnswer } from './problem.js';

const HEADERS_TIMEOUT_MILLISECONDS = 10_000;
const KEEP_ALIVE_MILLISECONDS = 72_000;
const MAXIMUM_HEADER_BYTES = 16 * 1024;
const MOST_KEYS_AT_ONCE = 1_000;
const PATH_PREFIX = '/s/';
const PREFIXED_PATH = /^\/s\/([^/?]+)\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

export interface TrafficServerOptions {
  readonly directory: ServiceDirectory;
  readonly lookup: LookupService;
  readonly keys: KeyRegister;
  readonly requestPath: RequestPath;
  readonly sync: ConfigurationSync;
  /** Names this process in the keys that it gives out. */
  readonly entryHost: string;
}

/** The callers' side of a daemon: look-ups, keys, and requests for services. */
export class TrafficServer {
  #attached: TrafficServerOptions | undefined;
  readonly #app: FastifyInstance;
  #closing = false;
  readonly #connections = new CallerConnections();

  constructor() {
    this.#app = Fastify({
      logger: false,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      requestTimeout: 0,
      forceCloseConnections: false,
      http: { maxHeaderSize: MAXIMUM_HEADER_BYTES, headersTimeout: HEADERS_TIMEOUT_MILLISECONDS },
      clientErrorHandler: (error, socket) => {
        this.#answerMalformed(error, socket);
      },
      frameworkErrors: (error, _request, reply) => {
        sendRefusal(reply, notRun('bad-request', error.message));
      },
    });
    this.#addRoutes();
  }

  /** Starts to listen and tells the address, with the port that was taken. */
  async listen(address: string): Promise<string> {
    const { host, port } = splitAddress(address);
    await this.#app.listen({ host, port });
    const bound = this.#app.server.address() as AddressInfo;
    return joinAddress({ host, port: bound.port });
  }

  /** Begins to serve; until then every request is refused as not ready. */
  attach(options: TrafficServerOptions): void {
    this.#attached = options;
  }

  /** From now on each answer closes its connection, so that callers come back elsewhere. */
  beginLeaving(): void {
    this.#closing = true;
  }

  /** Closes connections that carry no request. Only once no caller has a reason to use them. */
  closeIdleConnections(): void {
    this.#app.server.closeIdleConnections();
  }

  async close(): Promise<void> {
    this.#app.server.closeAllConnections();
    await this.#app.close();
  }

  #addRoutes(): void {
    const app = this.#app;
    app.removeAllContentTypeParsers();
    // Bodies are streamed: nothing is read before it is known where to.
    app.addContentTypeParser('*', (_request, _payload, done) => {
      done(null);
    });
    app.server.on('connection', (socket: Socket) => {
      this.#connections.add(socket);
    });
    app.addHook('onRequest', async ({ raw }, reply) => {
      if (!this.#connections.begin(raw.socket, reply.raw)) {
        reply.hijack();
        return;
      }
      if (this.#closing) {
        reply.raw.setHeader('connection', 'close');
      }
    });
    app.get('/v1/lookup', (request, reply) => this.#lookup(request, reply));
    app.post('/v1/keys', (request, reply) => this.#issueKeys(request, reply));
    app.all('/*', (request, reply) => this.#forward(request, reply));
    app.setNotFoundHandler((request, reply) => this.#forward(request, reply));
  }

  /** Answers bytes that are no HTTP request, or whose headers are too long. */
  #answerMalformed(error: Error & { code?: string }, socket: Socket): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const tooLong = error.code === 'HPE_HEADER_OVERFLOW';
    const detail = tooLong ? 'the headers are too long' : 'expected a well-formed HTTP/1.1 request';
    const { headers, body } = problemAnswer(notRun('bad-request', detail));
    const status = tooLong ? '431 Request Header Fields Too Large' : '400 Bad Request';
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    const head = `HTTP/1.1 ${status}\r\n${lines.join('\r\n')}\r\nconnection: close\r\n\r\n`;
    this.#connections.endWith(socket, `${head}${body}`);
  }

  #lookup(request: FastifyRequest, reply: FastifyReply): FastifyReply {
    const query = request.query as Record<string, string | undefined>;
    const account = query.account ?? '';
    const service = query.service ?? '';
    const address = query.address ?? request.ip;
    const options = this.#ready();
    if (options === undefined) {
      return sendRefusal(reply, notReady());
    }
    if (query.address !== undefined && !ipAddressSchema.safeParse(address).success) {
      return sendRefusal(reply, notRun('bad-request', 'address: expected an IP number'));
    }
    const answer = options.lookup.answer(account, service, address);
    if (answer === undefined) {
      return sendRefusal(reply, unknownService(account, service));
    }
    return reply.header('content-type', 'application/json').send(answer);
  }

  #issueKeys(request: FastifyRequest, reply: FastifyReply): FastifyReply {
    const query = request.query as Record<string, string | undefined>;
    const account = query.account ?? '';
    const service = query.service ?? '';
    const count = Number(query.count ?? 1);
    if (!Number.isInteger(count) || count < 1 || count > MOST_KEYS_AT_ONCE) {
      const detail = `count: expected a whole number from 1 to ${MOST_KEYS_AT_ONCE}`;
      return sendRefusal(reply, notRun('bad-request', detail));
    }
    const options = this.#ready();
    if (options === undefined) {
      return sendRefusal(reply, notReady());
    }
    const { directory, keys, entryHost } = options;
    if (directory.service(account, service) === undefined) {
      return sendRefusal(reply, unknownService(account, service));
    }
    return reply.header('content-type', 'application/json').send({
      keys: keys.issue(account, service, count),
      lifetimeSeconds: keys.lifetimeSeconds,
      entryHost,
    });
  }

  async #forward(request: FastifyRequest, reply: FastifyReply): Promise<void> {
    const options = this.#ready();
    if (options === undefined) {
      sendRefusal(reply, notReady());
      return;
    }
    const route = findRoute(request, options.directory);
    if ('kind' in route) {
      sendRefusal(reply, route);
      return;
    }
    reply.hijack();
    const given = request.headers[REQUEST_ID_HEADER];
    await options.requestPath.handle({
      request: request.raw,
      response: reply.raw,
      service: route.service,
      path: route.path,
      requestId: typeof given === 'string' ? given : randomUUID(),
    });
  }

  #ready(): TrafficServerOptions | undefined {
    return this.#attached?.sync.ready === true ? this.#attached : undefined;
  }
}

/** A service with the path that its target is to see. */
interface Route {
  readonly service: ServiceRuntime;
  readonly path: string;
}

/** The service that a request is for: by its path prefix, else by its host name. */
function findRoute(request: FastifyRequest, directory: ServiceDirectory): Route | NotRun {
  const url = request.raw.url ?? '/';
  if (!url.startsWith(PATH_PREFIX)) {
    const service = directory.byHostHeader(request.headers.host ?? '');
    return service === undefined
      ? notRun('unknown-service', 'neither the path nor the host name belongs to a service')
      : { service, path: url };
  }
  const [, account = '', name = '', path = '/', query = ''] = PREFIXED_PATH.exec(url) ?? [];
  const service = directory.service(account, name);
  return service === undefined
    ? unknownService(account, name)
    : { service, path: `${path}${query}` };
}

function notReady(): NotRun {
  return notRun('not-ready', 'this entry host has not learned the configuration yet', 1);
}

function unknownService(account: string, service: string): NotRun {
  return notRun('unknown-service', `no service "${service}" of account "${account}"`);
}

function sendRefusal(reply: FastifyReply, refusal: NotRun): FastifyReply {
  const { status, headers, body } = problemAnswer(refusal);
  // As bytes: fastify would add a charset to text, which the media type does not have.
  return reply.code(status).headers(headers).send(Buffer.from(body));
}
