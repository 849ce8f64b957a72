import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import { FramingGuard } from './framing-guard.js';
import { ReadingGate } from './reading-gate.js';
import { wasReset } from './was-reset.js';

/** Published by the transport as it begins to write a request, right after the request's start. */
const SEND_CHANNEL = 'undici:client:sendHeaders';

/** A connection at the time at which a request is written to it. */
export interface ConnectionUse {
  /** Local port, which also names the connection to the other side. */
  readonly localPort: number;
  /** Number of requests that were sent on it before. */
  readonly requestsBefore: number;
}

/** What controls the answers on a connection. */
export interface ConnectionControl {
  readonly framing: FramingGuard;
  readonly gate: ReadingGate;
  /** Tells, at the end of an answer, whether a reset of the connection ended it. */
  readonly wasReset: () => boolean;
}

interface Connection extends ConnectionControl {
  requests: number;
}

/** Tells on which connection the transport sends each request. */
export class ConnectionUses {
  readonly #connections = new WeakMap<Socket, Connection>();
  #onUse: ((use: ConnectionUse, control: ConnectionControl) => void) | undefined;
  readonly #onSend = (message: unknown): void => {
    const onUse = this.#onUse;
    this.#onUse = undefined;
    if (onUse !== undefined) {
      const { socket } = message as { readonly socket: Socket };
      const connection = this.#connectionOf(socket);
      const requestsBefore = connection.requests++;
      onUse({ localPort: socket.localPort ?? 0, requestsBefore }, connection);
    }
  };

  constructor() {
    subscribe(SEND_CHANNEL, this.#onSend);
  }

  /** Expects the use of a connection by the request that the transport has just started. */
  expect(onUse: (use: ConnectionUse, control: ConnectionControl) => void): void {
    this.#onUse = onUse;
  }

  close(): void {
    unsubscribe(SEND_CHANNEL, this.#onSend);
  }

  #connectionOf(socket: Socket): Connection {
    const known = this.#connections.get(socket);
    if (known !== undefined) {
      return known;
    }
    // The transport has begun to listen by now, so that the guard sees what it has taken.
    const created = {
      requests: 0,
      framing: new FramingGuard(socket),
      gate: new ReadingGate(socket),
      wasReset: () => wasReset(socket),
    };
    this.#connections.set(socket, created);
    return created;
  }
}
