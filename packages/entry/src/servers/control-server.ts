import type { IncomingMessage, ServerResponse } from 'node:http';
import { promisify } from 'node:util';
import { constants, gzip } from 'node:zlib';
import type { FastifyInstance, FastifyRequest } from 'fastify';
import { JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0';
import type { Clock } from '@ferrylock/utils';
import { splitAddress } from '../address.js';
import { HANDOVER_PATH_PREFIX } from '../handover/request-handover.js';
import type { MetricsPage } from '../metrics-page.js';
import { PEER_PATH } from '../peers/peer-client.js';
import { DELTA_METHOD, deltaParamsSchema } from '../peers/peer-messages.js';
import type { ViewExchange } from '../peers/view-exchange.js';
import { BodyReader } from '../request/body-reader.js';
import type { BodyFailure } from '../request/body-reading.js';
import { ByteBudget } from '../transfers/byte-budget.js';
import { createServerApp } from './create-server-app.js';
import type { SharedServerParts } from './create-server-app.js';

/** Length in characters from which an answer is compressed. */
const MIN_COMPRESSED_LENGTH = 2_048;
/** The fastest level; routes of a configuration resemble each other. */
const COMPRESSION = { level: constants.Z_BEST_SPEED };

const compress = promisify(gzip);

const NOT_FOUND = 404;
/** Messages of hosts have a few kilobytes, those with a whole configuration some hundred. */
const MAX_MESSAGE_BYTES = 1024 * 1024;
/** Messages that come in at a time; hosts send theirs at once. */
const MAX_MESSAGES_BYTES = 2 * MAX_MESSAGE_BYTES;
/** Time in which a message must have come. */
const MESSAGE_MILLISECONDS = 5_000;
/** Status for each failure to read a message. */
const STATUS_BY_FAILURE = {
  'too-large': 413,
  'too-many-bytes-held': 503,
  'too-late': 408,
  stopping: 503,
  'caller-gone': 503,
} as const satisfies Record<BodyFailure, number>;
/** Callers' paths begin with a slash. */
const HANDOVER_PREFIX = `${HANDOVER_PATH_PREFIX}/`;
/** Callers' headers, and that of the handover. */
const MAX_HANDOVER_HEADERS_BYTES = 68 * 1024;

/** JSON-RPC 2.0 error code for invalid parameters. */
const INVALID_PARAMS = -32_602;

/** Messages are read for as long as the server is open. */
const NEVER_CLOSED = { onClose: () => () => undefined };

export interface ControlServerOptions {
  readonly clock: Clock;
  readonly shared: SharedServerParts;
  readonly viewExchange: ViewExchange;
  /** This host's metrics in the Prometheus text format. */
  readonly metricsPage: Pick<MetricsPage, 'bytes'>;
  /** Handles a request that another entry host hands over, with its own path and an unread body. */
  readonly handleHandover: (
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
  ) => Promise<void>;
  readonly onFailure: (error: unknown) => void;
}

/** Serves peer requests of other entry hosts and the metrics of this one. */
export class ControlServer {
  readonly #app: FastifyInstance;
  readonly #bodyReader: BodyReader;
  readonly #peerServer = new JSONRPCServer({ errorListener: () => undefined });

  constructor(options: ControlServerOptions) {
    const { clock, shared, viewExchange, metricsPage, handleHandover, onFailure } = options;
    this.#bodyReader = new BodyReader(clock, new ByteBudget(MAX_MESSAGES_BYTES), NEVER_CLOSED);
    this.#app = createServerApp({
      shared,
      name: 'control',
      maxHeaderBytes: MAX_HANDOVER_HEADERS_BYTES,
      app: {
        // Fastify must not interpret callers' paths.
        rewriteUrl: ({ url = '' }) =>
          url.startsWith(HANDOVER_PREFIX) ? HANDOVER_PATH_PREFIX : url,
      },
    });
    this.#app.addHook('onRequest', async ({ raw, originalUrl }, reply) => {
      if (originalUrl.startsWith(HANDOVER_PREFIX)) {
        reply.hijack();
        const path = originalUrl.slice(HANDOVER_PATH_PREFIX.length);
        await handleHandover(raw, reply.raw, path).catch((error: unknown) => {
          onFailure(error);
          reply.raw.destroy();
        });
      }
    });
    // Reached by the prefix alone: handovers are handled before.
    this.#app.all(HANDOVER_PATH_PREFIX, (_request, reply) => reply.code(NOT_FOUND).send());
    this.#peerServer.addMethod(DELTA_METHOD, (params: unknown) => {
      const parsed = deltaParamsSchema.safeParse(params);
      if (!parsed.success) {
        throw new JSONRPCErrorException(parsed.error.message, INVALID_PARAMS);
      }
      return viewExchange.deltaFor(parsed.data);
    });
    // Bodies are left unparsed: the JSON-RPC server reports parse errors itself.
    this.#app.addContentTypeParser('*', (_request: FastifyRequest, message: IncomingMessage) =>
      this.#readMessage(message),
    );
    this.#app.post(PEER_PATH, async (request, reply) => {
      const response = await this.#peerServer.receiveJSON(request.body as string);
      const text = JSON.stringify(response);
      const accepted = request.headers['accept-encoding'] ?? '';
      reply.header('content-type', 'application/json');
      return text.length < MIN_COMPRESSED_LENGTH || !accepted.includes('gzip')
        ? reply.send(text)
        : reply.header('content-encoding', 'gzip').send(await compress(text, COMPRESSION));
    });
    this.#app.get('/metrics', (_request, reply) =>
      reply.header('content-type', 'text/plain; version=0.0.4').send(metricsPage.bytes),
    );
  }

  /** @throws if it is too large, or does not come in time */
  async #readMessage(message: IncomingMessage): Promise<string> {
    const body = await this.#bodyReader.read(message, {
      maxBytes: MAX_MESSAGE_BYTES,
      deadlineAt: this.#bodyReader.clock.now() + MESSAGE_MILLISECONDS,
    });
    if (body.isErr()) {
      const error = new Error(`the message could not be read: ${body.error}`);
      throw Object.assign(error, { statusCode: STATUS_BY_FAILURE[body.error] });
    }
    this.#bodyReader.release(body.value);
    return body.value?.toString() ?? '';
  }

  async listen(address: string): Promise<string> {
    const { host, port } = splitAddress(address);
    await this.#app.listen({ host, port });
    const bound = this.#app.server.address();
    return typeof bound === 'object' && bound !== null ? `${host}:${bound.port}` : address;
  }

  async close(): Promise<void> {
    this.#app.server.closeAllConnections();
    await this.#app.close();
  }
}
