import type { Clock } from '@ferrylock/utils';

/**
 * Bounds how long a message that is read now may have waited, by calls at regular intervals: the
 * process read nothing while such a call was overdue, as in a pause, on a slow start or without quota.
 */
export class ReadDelay {
  #calledAt: number;
  #lastDelay = 0;

  constructor(
    readonly clock: Clock,
    readonly intervalMilliseconds: number,
  ) {
    this.#calledAt = clock.now();
  }

  /** The bound in milliseconds. What waited during a delay may be read until the next call. */
  get milliseconds(): number {
    return Math.max(this.#lastDelay, this.#overdue);
  }

  /** Records a call; returns its delay in milliseconds. */
  record(): number {
    this.#lastDelay = this.#overdue;
    this.#calledAt = this.clock.now();
    return this.#lastDelay;
  }

  get #overdue(): number {
    return Math.max(0, this.clock.now() - this.#calledAt - this.intervalMilliseconds);
  }
}
