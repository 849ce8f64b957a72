/** A client's connection that can give way to others. */
export interface PooledConnection {
  /** Whether the rest of its only request is awaited. */
  readonly isAwaitingBody: boolean;
  close(): void;
}

/**
 * Why this host closed a client's connection: it gave way to another one, it came while none could
 * give way, its client took no bytes of an answer, sent on a body that was answered already, or had
 * sent ahead when all clients together had sent too much.
 */
export type CloseReason = 'gave-way' | 'no-room' | 'stalled' | 'unwanted-body' | 'sent-ahead';

/** Connections of the clients of one server. */
export class PortConnections {
  /** Number of connections that this host closed, by reason. */
  readonly closed = new Map<CloseReason, number>();
  readonly #pool: ConnectionPool;
  /** Those without a request, the longest so first. */
  readonly #idle = new Set<PooledConnection>();
  /** Those with requests, the first to have begun first. */
  readonly #busy = new Set<PooledConnection>();

  /** @param weight - part of all connections that it may have when there are no more, beside others */
  constructor(
    readonly name: string,
    readonly weight: number,
    pool: ConnectionPool,
  ) {
    this.#pool = pool;
  }

  get size(): number {
    return this.#idle.size + this.#busy.size;
  }

  /** @returns false if there is no room for it */
  tryAdd(connection: PooledConnection): boolean {
    if (!this.#pool.makeRoom()) {
      this.recordClosed('no-room');
      return false;
    }
    this.#idle.add(connection);
    return true;
  }

  setBusy(connection: PooledConnection): void {
    if (this.#idle.delete(connection)) {
      this.#busy.add(connection);
    }
  }

  setIdle(connection: PooledConnection): void {
    if (this.#busy.delete(connection)) {
      this.#idle.add(connection);
    }
  }

  remove(connection: PooledConnection): void {
    this.#idle.delete(connection);
    this.#busy.delete(connection);
  }

  /**
   * Closes the connection that has been without a request the longest, or else the first of those
   * that await the rest of one.
   *
   * @returns false if it has none
   */
  tryShed(): boolean {
    const [idle] = this.#idle;
    const victim = idle ?? [...this.#busy].find(({ isAwaitingBody }) => isAwaitingBody);
    if (victim === undefined) {
      return false;
    }
    this.remove(victim);
    this.recordClosed('gave-way');
    victim.close();
    return true;
  }

  recordClosed(reason: CloseReason): void {
    this.closed.set(reason, (this.closed.get(reason) ?? 0) + 1);
    this.#pool.options.onClosed(this, reason);
  }
}

export interface ConnectionPoolOptions {
  /** Limit on the connections at all servers together. */
  readonly maxConnections: number;
  /** Called for each connection that this host closes. */
  readonly onClosed: (port: PortConnections, reason: CloseReason) => void;
}

/**
 * Bounds the connections of clients at all servers of a process, so that descriptors remain for
 * targets, other hosts and the store. A connection that comes beyond the bound gets the place of one
 * on which no request is worked on, at the server that has the most for its weight.
 */
export class ConnectionPool {
  readonly #ports: PortConnections[] = [];

  constructor(readonly options: ConnectionPoolOptions) {}

  get ports(): readonly PortConnections[] {
    return this.#ports;
  }

  addPort(name: string, weight: number): PortConnections {
    const port = new PortConnections(name, weight, this);
    this.#ports.push(port);
    return port;
  }

  /** Makes room for one connection; false if requests are worked on at all of them. */
  makeRoom(): boolean {
    const size = this.#ports.reduce((sum, port) => sum + port.size, 0);
    if (size < this.options.maxConnections) {
      return true;
    }
    const byUse = this.#ports.toSorted(
      (first, second) => second.size / second.weight - first.size / first.weight,
    );
    return byUse.some((port) => port.tryShed());
  }
}
