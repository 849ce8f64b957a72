/** A request that waits until this host has time for it. */
export interface WaitingRequest {
  /** Priority under overload; 0 is the most urgent. */
  readonly priority: number;
  /** Name of the client account, if there is one. */
  readonly account: string | undefined;
}

export interface QueueEntry<T extends WaitingRequest> {
  readonly request: T;
  /** Turn of its account among requests of the same priority; the lowest starts first. */
  readonly round: number;
}

/**
 * Requests in the order of their starts: the most urgent first, those of equal priority in equal
 * parts among client accounts (start-time fair queueing), and those of one account as they came.
 */
export class WaitingRequests<T extends WaitingRequest> {
  readonly #entries: QueueEntry<T>[] = [];
  /** Last round of each account that has requests here, by priority and name. */
  readonly #lastRounds = new Map<string, number>();
  /** Round of the last request that started, by priority. */
  readonly #startedRounds = new Map<number, number>();

  get size(): number {
    return this.#entries.length;
  }

  add(request: T): void {
    const entry = { request, round: this.#roundOf(request) };
    this.#lastRounds.set(keyOf(request), entry.round);
    this.#entries.splice(this.#positionOf(entry), 0, entry);
  }

  /** Removes and returns the first request that meets a condition. */
  take(condition: (request: T) => boolean): T | undefined {
    const index = this.#entries.findIndex(({ request }) => condition(request));
    const entry = this.#entries[index];
    if (entry === undefined) {
      return undefined;
    }
    this.#entries.splice(index, 1);
    this.#startedRounds.set(entry.request.priority, entry.round);
    this.#forgetRounds();
    return entry.request;
  }

  /**
   * Removes and returns the requests that meet a condition.
   *
   * @param condition - also gets the number of requests that start before it and remain
   */
  remove(condition: (request: T, ahead: number) => boolean): T[] {
    const removed: T[] = [];
    let kept = 0;
    for (const entry of [...this.#entries]) {
      if (condition(entry.request, kept)) {
        removed.push(entry.request);
        this.#entries.splice(kept, 1);
      } else {
        kept++;
      }
    }
    this.#forgetRounds();
    return removed;
  }

  #roundOf(request: T): number {
    const started = this.#startedRounds.get(request.priority) ?? 0;
    const last = this.#lastRounds.get(keyOf(request)) ?? -Infinity;
    return Math.max(started, last + 1);
  }

  #positionOf({ request, round }: QueueEntry<T>): number {
    const index = this.#entries.findIndex(
      (other) =>
        other.request.priority > request.priority ||
        (other.request.priority === request.priority && other.round > round),
    );
    return index < 0 ? this.#entries.length : index;
  }

  /** Forgets all rounds when no request waits, so that these maps stay small. */
  #forgetRounds(): void {
    if (this.#entries.length === 0) {
      this.#lastRounds.clear();
      this.#startedRounds.clear();
    }
  }
}

function keyOf({ priority, account }: WaitingRequest): string {
  return `${priority} ${account ?? ''}`;
}
