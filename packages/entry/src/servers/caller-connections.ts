import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** A caller's connection; requests on it may follow one another before the first is answered. */
class CallerConnection {
  /** Responses that the operating system has not taken whole, in the order of their requests. */
  readonly open = new Set<ServerResponse>();
  /** The response after which the connection closes. */
  #last: ServerResponse | undefined;
  /** Response to bytes that are no request, which ends the connection. */
  #finalResponse: string | undefined;

  constructor(readonly socket: Socket) {}

  /**
   * Whether a request that comes now may run: no response has told the caller that it is the last,
   * and none is due to bytes that were no request, which the caller may take for the one to this.
   */
  get takesRequests(): boolean {
    const isEnded = this.socket.writableEnded || this.#finalResponse !== undefined;
    return !isEnded && ![...this.open].some(hasToldClose);
  }

  begin(response: ServerResponse): void {
    this.open.add(response);
    response.once('close', () => {
      this.open.delete(response);
      this.#endIfNoneIsDue();
    });
  }

  /**
   * Ends the connection with a response to bytes that are no request, once the responses to the
   * requests before these have been sent: callers take responses in the order of their requests.
   */
  endWith(finalResponse: string): void {
    this.#finalResponse ??= finalResponse;
    this.#endIfNoneIsDue();
  }

  #endIfNoneIsDue(): void {
    if (this.#finalResponse !== undefined && ![...this.open].some(isDue) && this.socket.writable) {
      this.socket.end(this.#finalResponse);
    }
  }

  /** Closes the connection after the last response, unless the heads of all have been sent. */
  closeAfterLast(): void {
    const last = [...this.open].at(-1);
    if (last === undefined || last === this.#last || last.headersSent) {
      return;
    }
    this.#last?.removeHeader('connection');
    this.#last = last;
    last.setHeader('connection', 'close');
  }
}

/**
 * Checks whether the head of a response has told the caller that nothing follows it. Headers that are
 * given to `writeHead` alone cannot be read back, so the word is set before.
 */
function hasToldClose(response: ServerResponse): boolean {
  return response.headersSent && response.getHeader('connection') === 'close';
}

/** Checks whether a response precedes one to later bytes: its request is whole, or it has begun. */
function isDue({ req, headersSent }: ServerResponse): boolean {
  return req.complete || headersSent;
}

/** Tracks the connections of callers, so that a graceful shutdown closes each after its answers. */
export class CallerConnections {
  readonly #connections = new Map<Socket, CallerConnection>();
  #isDraining = false;

  /** Number of responses that the operating system has not taken whole. */
  get openResponses(): number {
    return [...this.#connections.values()].reduce((sum, { open }) => sum + open.size, 0);
  }

  add(socket: Socket): CallerConnection {
    const connection = new CallerConnection(socket);
    this.#connections.set(socket, connection);
    socket.once('close', () => {
      this.#connections.delete(socket);
    });
    return connection;
  }

  /**
   * Begins a response.
   *
   * @returns false if the connection is closed, or closes after another response, so that the
   * request must not run
   */
  begin(socket: Socket, response: ServerResponse): boolean {
    if (socket.destroyed) {
      return false;
    }
    const connection = this.#of(socket);
    if (!connection.takesRequests) {
      return false;
    }
    connection.begin(response);
    if (this.#isDraining) {
      connection.closeAfterLast();
    }
    return true;
  }

  /** Ends a connection with a response to bytes that are no request, after those that are due. */
  endWith(socket: Socket, finalResponse: string): void {
    this.#of(socket).endWith(finalResponse);
  }

  /** Closes each connection after the last of its responses, so that callers reconnect elsewhere. */
  drain(): void {
    this.#isDraining = true;
    for (const connection of this.#connections.values()) {
      connection.closeAfterLast();
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

  /** A server that listens at several addresses of a name tells of connections to the first alone. */
  #of(socket: Socket): CallerConnection {
    return this.#connections.get(socket) ?? this.add(socket);
  }
}
