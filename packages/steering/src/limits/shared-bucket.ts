import type { Clock } from '@ferrylock/utils';
import type { RateAllotment } from './rate-allotment.js';

/** Seconds of its rate that a bucket holds: the burst that a cap lets through at once. */
export const BURST_SECONDS = 0.1;
/** A bucket holds at least one request, or small parts of a cap would never be usable. */
const SMALLEST_DEPTH = 1;

/**
 * A token bucket filled at this daemon's part of a shared cap. Over any window, all daemons together
 * let through at most cap × window + burst, where the burst is the greater of a tenth of a second of
 * the cap and one request a daemon.
 */
export class SharedBucket {
  #tokens = 0;
  #filledAt: number;
  #rate = 0;
  #decreases = 0;

  constructor(
    readonly limit: string,
    readonly capPerSecond: number,
    readonly allotment: RateAllotment,
    readonly clock: Clock,
  ) {
    this.#filledAt = clock.now();
  }

  /** Whether the amount would be let through now; an amount over the depth waits for a full bucket. */
  has(amount: number): boolean {
    this.#fill();
    return this.#tokens >= Math.min(amount, this.#depth()) && this.#rate > 0;
  }

  /** Takes the amount; call only after {@link has}, with nothing awaited between. */
  take(amount: number): void {
    this.#tokens -= amount;
  }

  /** Tells what is asked for, so that the part can grow. */
  recordDemand(amount: number): void {
    this.allotment.recordDemand(this.limit, this.capPerSecond, amount);
  }

  /** Milliseconds until the amount may be let through at the present rate; infinite at rate 0. */
  waitMilliseconds(amount: number): number {
    this.#fill();
    const missing = Math.min(amount, this.#depth()) - this.#tokens;
    return missing <= 0 ? 0 : (missing / this.#rate) * 1_000;
  }

  /** Fills at the lower of the rates before and now; a time that saw a dip in between is not counted. */
  #fill(): void {
    const now = this.clock.now();
    const rate = this.allotment.usablePerSecond(this.limit, this.capPerSecond);
    const decreases = this.allotment.decreases(this.limit);
    const steady = decreases === this.#decreases;
    const earned = steady ? (Math.min(rate, this.#rate) * (now - this.#filledAt)) / 1_000 : 0;
    this.#rate = rate;
    this.#decreases = decreases;
    this.#filledAt = now;
    this.#tokens = Math.min(this.#depth(), this.#tokens + earned);
  }

  #depth(): number {
    return this.#rate <= 0 ? 0 : Math.max(SMALLEST_DEPTH, this.#rate * BURST_SECONDS);
  }
}
