import type { Clock } from '@ferrylock/utils';

/** Delay after which callers may have given up before their request is read. */
const DELAY_THRESHOLD_MILLISECONDS = 150;
/** Time in which a process works off its backlog after such a delay and after its start. */
const LAGGING_MILLISECONDS = 3_000;

/**
 * Detects recent event loop delay, as on a slow start, after a freeze or when the CPU quota is
 * exhausted. Requests that are read then may be from callers that have given up.
 */
export class EventLoopDelay {
  #delayedAt: number;
  #lastMilliseconds = 0;

  constructor(readonly clock: Clock) {
    this.#delayedAt = clock.now();
  }

  /** The last recorded delay in milliseconds. */
  get lastMilliseconds(): number {
    return this.#lastMilliseconds;
  }

  /** @param milliseconds - delay of a timer beyond its due time */
  record(milliseconds: number): void {
    this.#lastMilliseconds = milliseconds;
    if (milliseconds > DELAY_THRESHOLD_MILLISECONDS) {
      this.#delayedAt = this.clock.now();
    }
  }

  get isLagging(): boolean {
    return this.clock.now() - this.#delayedAt < LAGGING_MILLISECONDS;
  }
}
