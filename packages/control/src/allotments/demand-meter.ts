import type { Clock } from '@ferrylock/utils';

/** Time constant of the estimate: long enough to see past gaps, short enough to follow a rush. */
const WINDOW_MILLISECONDS = 4_000;
/** With no demand for this long, a limit counts as not in use. */
const IDLE_MILLISECONDS = 5_000;

/** Estimates how much of a limit is asked for, per second, whether it could be granted or not. */
export class DemandMeter {
  #rate = 0;
  #pending = 0;
  #foldedAt: number;
  #askedAt = -Infinity;

  constructor(readonly clock: Clock) {
    this.#foldedAt = clock.now();
  }

  add(amount: number): void {
    this.#pending += amount;
    this.#askedAt = this.clock.now();
  }

  /** Amount asked for per second, lately. */
  get perSecond(): number {
    this.#fold();
    return this.#rate;
  }

  get isIdle(): boolean {
    return this.clock.now() - this.#askedAt >= IDLE_MILLISECONDS;
  }

  #fold(): void {
    const now = this.clock.now();
    const elapsed = now - this.#foldedAt;
    if (elapsed <= 0) {
      return;
    }
    const sample = (this.#pending / elapsed) * 1_000;
    const weight = 1 - Math.exp(-elapsed / WINDOW_MILLISECONDS);
    this.#rate += weight * (sample - this.#rate);
    this.#pending = 0;
    this.#foldedAt = now;
  }
}
