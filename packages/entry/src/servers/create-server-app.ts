import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import Fastify from 'fastify';
import type { FastifyInstance, FastifyServerFactory, FastifyServerOptions } from 'fastify';
import type { ConnectionPool } from './connection-pool.js';
import type { DisconnectProbe } from './disconnect-probe.js';
import { PacedConnection } from './paced-connection.js';
import type { ReadPacer } from './read-pacer.js';
import type { WaitingBytes } from './waiting-bytes.js';

/** Time for which a connection may rest between requests, longer than other hosts and probes pause. */
const IDLE_MILLISECONDS = 72_000;

/** Far beyond the pauses that a full receive window causes. */
const STALL_MILLISECONDS = 30_000;

/** What all servers of a process share. */
export interface SharedServerParts {
  readonly pacer: ReadPacer;
  readonly probe: DisconnectProbe;
  readonly waitingBytes: WaitingBytes;
  readonly pool: ConnectionPool;
}

export interface ServerAppOptions {
  readonly shared: SharedServerParts;
  /** Name of its port in metrics. */
  readonly name: string;
  /** Part of all connections that it may have when there are no more; 1 if absent. */
  readonly connectionWeight?: number;
  /** Size limit of request headers in the HTTP parser; that of the runtime if absent. */
  readonly maxHeaderBytes?: number;
  /** Interval of the checks for heads that do not end in time; that of the runtime if absent. */
  readonly headerCheckMilliseconds?: number | undefined;
  /** Time without a byte taken after which a client's path counts as broken. */
  readonly stallMilliseconds?: number | undefined;
  /** Further options of Fastify. */
  readonly app?: Pick<
    FastifyServerOptions,
    'rewriteUrl' | 'clientErrorHandler' | 'forceCloseConnections'
  >;
}

function rejectSchema(): never {
  throw new Error('Fastify asked for a schema compiler, but no route may define a schema');
}

/** Without schemas Fastify need not load its schema compilers, half of the program's code. */
const WITHOUT_SCHEMAS = {
  compilersFactory: { buildValidator: rejectSchema, buildSerializer: rejectSchema },
};

/**
 * Creates a server of this host: what its clients may make it hold is bounded in the same way at each
 * port. It parses no bodies.
 */
export function createServerApp(options: ServerAppOptions): FastifyInstance {
  const app = Fastify({
    ...options.app,
    logger: false,
    schemaController: WITHOUT_SCHEMAS,
    serverFactory: pacedServerFactory(options),
  });
  app.removeAllContentTypeParsers();
  return app;
}

/** Makes HTTP servers whose connections are read by {@link PacedConnection}. */
function pacedServerFactory(options: ServerAppOptions): FastifyServerFactory {
  const { shared, name, connectionWeight = 1, maxHeaderBytes, headerCheckMilliseconds } = options;
  const { stallMilliseconds = STALL_MILLISECONDS } = options;
  return (handler) => {
    const port = shared.pool.addPort(name, connectionWeight);
    const connections = new WeakMap<Duplex, PacedConnection>();
    const server = createServer(
      {
        requestTimeout: 0,
        keepAliveTimeout: IDLE_MILLISECONDS,
        ...(maxHeaderBytes === undefined ? {} : { maxHeaderSize: maxHeaderBytes }),
        ...(headerCheckMilliseconds === undefined
          ? {}
          : { connectionsCheckingInterval: headerCheckMilliseconds }),
      },
      (request, response) => {
        connections.get(request.socket)?.begin(request, response);
        handler(request, response);
      },
    );
    server.on('connection', (socket: Socket) => {
      connections.set(socket, new PacedConnection(socket, { ...shared, port }));
    });
    server.setTimeout(stallMilliseconds, (socket) => {
      connections.get(socket)?.endPause();
    });
    server.on('clientError', (_error, socket) => {
      connections.get(socket)?.discardRest();
    });
    return server;
  };
}
