import type { AddressInfo } from 'node:net';
import type { PeerRouter } from '@ferrylock/control';
import { PeerCallRejected } from '@ferrylock/control';
import {
  buildOpenRpcDocument,
  describeProblems,
  operatorMethods,
  parseFields,
  rpcErrorCodes,
} from '@ferrylock/schema';
import type { OperatorMethod } from '@ferrylock/schema';
import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { createJSONRPCErrorResponse, JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0';
import { joinAddress, splitAddress } from '../http/address.js';
import { PEER_PATH } from './http-peer-transport.js';
import type { OperatorAuthenticator, OperatorIdentity } from './operator-authenticator.js';
import type { OperatorCalls } from './operator-calls.js';
import { rpcError } from './rpc-error.js';

const MAXIMUM_CALL_BYTES = 8 * 1024 * 1024;

export interface ControlServerOptions {
  readonly router: PeerRouter;
  readonly authenticator: OperatorAuthenticator;
}

/** The side of a daemon that operators and other daemons call. */
export class ControlServer {
  readonly #options: ControlServerOptions;
  readonly #app: FastifyInstance;
  #calls: OperatorCalls | undefined;
  #metricsText: () => string = () => '';
  readonly #peerServer = new JSONRPCServer({ errorListener: () => undefined });
  readonly #operatorServer = new JSONRPCServer<OperatorIdentity>({
    errorListener: () => undefined,
  });

  constructor(options: ControlServerOptions) {
    this.#options = options;
    this.#app = Fastify({ logger: false, bodyLimit: MAXIMUM_CALL_BYTES });
    this.#addPeerMethods();
    this.#addOperatorMethods();
    this.#addRoutes();
  }

  /** Starts to listen and tells the address, with the port that was taken. */
  async listen(address: string): Promise<string> {
    const { host, port } = splitAddress(address);
    await this.#app.listen({ host, port });
    const bound = this.#app.server.address() as AddressInfo;
    return joinAddress({ host, port: bound.port });
  }

  /** Begins to take operators' calls. */
  attach(components: { operatorCalls: OperatorCalls; metricsText: () => string }): void {
    this.#calls = components.operatorCalls;
    this.#metricsText = components.metricsText;
  }

  async close(): Promise<void> {
    this.#app.server.closeAllConnections();
    await this.#app.close();
  }

  #addPeerMethods(): void {
    const { router } = this.#options;
    for (const method of router.methods) {
      this.#peerServer.addMethod(method, async (params) => {
        try {
          return await router.dispatch(method, params);
        } catch (error) {
          const message = error instanceof PeerCallRejected ? error.message : 'internal error';
          throw new JSONRPCErrorException(message, rpcErrorCodes.invalidParams);
        }
      });
    }
  }

  #addOperatorMethods(): void {
    const server = this.#operatorServer;
    for (const method of Object.keys(operatorMethods) as OperatorMethod[]) {
      server.addMethod(method, (params, operator) => this.#callOperator(method, params, operator));
    }
    server.addMethod('rpc.discover', () => buildOpenRpcDocument());
  }

  async #callOperator(
    method: OperatorMethod,
    params: unknown,
    operator: OperatorIdentity,
  ): Promise<unknown> {
    const parsed = parseFields(operatorMethods[method].params, params);
    if (parsed.isErr()) {
      throw rpcError('invalidParams', describeProblems(parsed.error), { problems: parsed.error });
    }
    if (this.#calls === undefined) {
      throw rpcError('storeUnavailable', 'the daemon is starting');
    }
    const { role, run } = this.#calls.table[method];
    if (!operator.mayActOn(parsed.value.account, role)) {
      throw rpcError('notPermitted', `role "${role}" of account "${parsed.value.account}" needed`);
    }
    return await run(parsed.value as never, operator);
  }

  #addRoutes(): void {
    // Bodies stay text here: the JSON-RPC servers tell callers what is wrong with them.
    this.#app.removeAllContentTypeParsers();
    this.#app.addContentTypeParser('*', { parseAs: 'string' }, (_request, body, done) => {
      done(null, body);
    });
    this.#app.post(PEER_PATH, async (request, reply) => {
      const answer = await this.#peerServer.receiveJSON(request.body as string);
      return reply.header('content-type', 'application/json').send(JSON.stringify(answer));
    });
    this.#app.post('/rpc', async (request, reply) => {
      const { authorization } = request.headers;
      const operator = await this.#options.authenticator.authenticate(authorization);
      const answer = operator.isErr()
        ? createJSONRPCErrorResponse(null, rpcErrorCodes.notPermitted, operator.error)
        : await this.#operatorServer.receiveJSON(
            typeof request.body === 'string' ? request.body : '',
            operator.value,
          );
      return reply
        .code(operator.isErr() ? 401 : 200)
        .header('content-type', 'application/json')
        .send(JSON.stringify(answer));
    });
    this.#app.get('/metrics', (_request, reply) =>
      reply.header('content-type', 'text/plain; version=0.0.4').send(this.#metricsText()),
    );
  }
}
