import type { Clock } from '@ferrylock/utils';
import type { AfterPoll } from '../after-poll.js';
import { createLatencyHistogram, recordLatency } from '../request/latency-histogram.js';

/**
 * Bounds how long connections wait until this process accepts them. The runtime accepts at most one
 * in a turn of the event loop, so a process that is busy in each turn falls behind although no timer
 * is late. Only a turn in which none was accepted shows that none waits.
 */
export class AcceptDelay {
  /** Number of connections that were accepted. */
  accepted = 0;
  /** Bounds in milliseconds, one for each connection. */
  readonly bounds = createLatencyHistogram();
  /** Largest bound in milliseconds since the last {@link takeLargest}. */
  #largest = 0;
  /** Time of the first of the connections that were accepted in turns one behind the other. */
  #seriesStartedAt: number | undefined;
  #acceptedBeforeTurn = 0;

  constructor(
    readonly clock: Clock,
    readonly afterPoll: AfterPoll,
  ) {}

  /** Bound in milliseconds on the wait of a connection that is accepted now; 0 if none may wait. */
  get milliseconds(): number {
    return this.#seriesStartedAt === undefined ? 0 : this.clock.now() - this.#seriesStartedAt;
  }

  /** Called for each connection. */
  record(): void {
    this.accepted++;
    if (this.#seriesStartedAt === undefined) {
      this.#seriesStartedAt = this.clock.now();
      this.#watch();
    }
    const { milliseconds } = this;
    recordLatency(this.bounds, milliseconds);
    this.#largest = Math.max(this.#largest, milliseconds);
  }

  /** Returns the largest bound in milliseconds since the last call. */
  takeLargest(): number {
    const largest = this.#largest;
    this.#largest = 0;
    return largest;
  }

  /** Follows the turns until one accepts no connection. */
  #watch(): void {
    this.#acceptedBeforeTurn = this.accepted;
    this.afterPoll(() => {
      this.afterPoll(() => {
        this.#endOfTurn();
      });
    });
  }

  #endOfTurn(): void {
    if (this.accepted > this.#acceptedBeforeTurn) {
      this.#acceptedBeforeTurn = this.accepted;
      this.afterPoll(() => {
        this.#endOfTurn();
      });
      return;
    }
    this.#seriesStartedAt = undefined;
  }
}
