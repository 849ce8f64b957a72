import type { Clock } from '@ferrylock/utils';

/** Callers do not wait longer than this for another attempt. */
const MAX_WAIT_MILLISECONDS = 5_000;
/** Longest wait of a caller before whom no other waits. */
const FIRST_WAIT_MILLISECONDS = 200;
/** Fraction of a part that returning callers may take; the rest is for those who come anew. */
const RETURN_SHARE = 0.5;
/** Lower bound of the rate of returns, so that a part of nothing still has an end. */
const MIN_RETURNS_PER_SECOND = 0.2;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Answers the second wave after a refusal of many: tells refused callers times to return one after
 * the other, at a rate that there is room for, so that they do not meet each other again.
 */
export class ReturnSchedule {
  /** Last time that callers of each queue were told. */
  readonly #toldUntil = new Map<string, number>();

  constructor(readonly clock: Clock) {}

  /**
   * Tells the next caller of a queue when to return.
   *
   * @param perSecond - requests per second of this queue that there is room for
   * @returns seconds from now
   */
  next(queue: string, perSecond: number): number {
    const now = this.clock.now();
    const rate = Math.max(MIN_RETURNS_PER_SECOND, RETURN_SHARE * perSecond);
    const gap = MILLISECONDS_PER_SECOND / rate;
    const earliest = now + Math.min(gap, FIRST_WAIT_MILLISECONDS);
    const inTurn = (this.#toldUntil.get(queue) ?? -Infinity) + gap;
    const at = Math.min(now + MAX_WAIT_MILLISECONDS, Math.max(earliest, inTurn));
    this.#toldUntil.set(queue, at);
    this.#forget(now);
    return (at - now) / MILLISECONDS_PER_SECOND;
  }

  /** Forgets queues whose callers were all told times that have passed. */
  #forget(now: number): void {
    for (const [queue, until] of this.#toldUntil) {
      if (until < now) {
        this.#toldUntil.delete(queue);
      } else {
        return;
      }
    }
  }
}
