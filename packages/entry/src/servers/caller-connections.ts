import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** A caller's connection; requests on it may follow one another before the first is answered. */
class CallerConnection {
  /** Responses that the operating system has not taken whole, in the order of their requests. */
  readonly open = new Set<ServerResponse>();

  /** Closes the connection after a response whose head has not been sent. */
  closeAfterNext(): void {
    for (const response of this.open) {
      if (!response.headersSent) {
        response.setHeader('connection', 'close');
      }
    }
  }
}

/** Tracks the connections of callers, so that a graceful shutdown closes each after its answers. */
export class CallerConnections {
  readonly #connections = new Map<Socket, CallerConnection>();
  #isDraining = false;

  /** Number of responses that the operating system has not taken whole. */
  get openResponses(): number {
    return [...this.#connections.values()].reduce((sum, { open }) => sum + open.size, 0);
  }

  add(socket: Socket): void {
    this.#connections.set(socket, new CallerConnection());
    socket.once('close', () => {
      this.#connections.delete(socket);
    });
  }

  /** Begins a response. */
  begin(socket: Socket, response: ServerResponse): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.open.add(response);
    response.once('close', () => {
      connection.open.delete(response);
    });
    if (this.#isDraining) {
      connection.closeAfterNext();
    }
  }

  /** Closes each connection after its next response, so that callers reconnect elsewhere. */
  drain(): void {
    this.#isDraining = true;
    for (const connection of this.#connections.values()) {
      connection.closeAfterNext();
    }
  }

  /** Closes the connections on which no response is due or on its way. */
  closeIdle(): void {
    for (const [socket, { open }] of this.#connections) {
      if (open.size === 0) {
        socket.destroy();
      }
    }
  }
}
