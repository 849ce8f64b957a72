import type { Clock } from '@ferrylock/utils';
import type { RateAllotment } from './rate-allotment.js';

/** Seconds of a cap that all buckets together hold: the burst that it lets through at once. */
export const BURST_SECONDS = 0.1;
/** A bucket holds at least one request, or small parts of a cap would never be usable. */
const SMALLEST_DEPTH = 1;

/**
 * A token bucket filled at this daemon's part of a shared cap. Over any window, all daemons together
 * let through at most cap × window + burst, where the burst is the greater of a tenth of a second of
 * the cap and one request a daemon. The burst is shared out evenly, unlike the rate: a quiet daemon
 * needs it more than a busy one, whose requests even out by themselves.
 */
export class SharedBucket {
  #tokens = 0;
  #filledAt: number;
  #rate = 0;

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

  /** Fills at the lowest rate since the last look, so that no time counts at two daemons. */
  #fill(): void {
    const now = this.clock.now();
    const lowest = this.allotment.lowestPerSecond(this.limit, this.capPerSecond);
    const earned = (Math.min(lowest, this.#rate) * (now - this.#filledAt)) / 1_000;
    this.#rate = this.allotment.usablePerSecond(this.limit, this.capPerSecond);
    this.#filledAt = now;
    this.#tokens = Math.min(this.#depth(), this.#tokens + earned);
  }

  #depth(): number {
    if (this.#rate <= 0) {
      return 0;
    }
    const share = this.allotment.burstShare(this.limit);
    return Math.max(SMALLEST_DEPTH, this.capPerSecond * BURST_SECONDS * share);
  }
}
