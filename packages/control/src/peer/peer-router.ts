import { describeProblems, parseFields } from '@ferrylock/schema';
import type { PeerMethod, PeerParams, PeerResult } from './peer-methods.js';
import { peerMethods } from './peer-methods.js';

type Handler = (params: never) => unknown;

/** Rejection of a call; the message is returned to the peer. */
export class PeerCallRejected extends Error {}

/** Dispatches RPC calls from peers to the registered handlers. */
export class PeerRouter {
  readonly #handlers = new Map<string, Handler>();

  handle<Method extends PeerMethod>(
    method: Method,
    handler: (params: PeerParams<Method>) => PeerResult<Method> | Promise<PeerResult<Method>>,
  ): void {
    this.#handlers.set(method, handler);
  }

  get methods(): readonly string[] {
    return Object.keys(peerMethods);
  }

  /** Validates the parameters and calls the handler. Throws {@link PeerCallRejected}. */
  async dispatch(method: string, params: unknown): Promise<unknown> {
    const handler = this.#handlers.get(method);
    if (handler === undefined || !isPeerMethod(method)) {
      throw new PeerCallRejected(`no such method: ${method}`);
    }
    const parsed = parseFields(peerMethods[method].params, params);
    if (parsed.isErr()) {
      throw new PeerCallRejected(`${method}: ${describeProblems(parsed.error)}`);
    }
    return await handler(parsed.value as never);
  }
}

function isPeerMethod(method: string): method is PeerMethod {
  return Object.hasOwn(peerMethods, method);
}
