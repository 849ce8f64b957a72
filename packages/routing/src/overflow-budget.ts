import { stableHash } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import { SlidingWindowCounter } from './sliding-window-counter.js';

const HASH_RANGE = 0x1_0000_0000;
/** Part of the bound that is for keys that change their region. */
const STEP_PART = 0.4;
/** Part of it that is for requests that leave their key's region because of a wait. */
const OVERFLOW_PART = 0.4;
/**
 * Part of a region's requests of one window that its hosts together may have saved up as whole
 * overflows, beside those of the window itself: 0.4 x 0.15 and this stay under 0.15.
 */
const SAVED_SHARE = 0.05;
const MILLISECONDS_PER_SECOND = 1_000;

/** How many of a region's requests may change the region in which they run. */
export interface RegionShiftLimit {
  /** From 0 to 1, from one window to the next. */
  readonly share: number;
  readonly windowMilliseconds: number;
}

/** How far the part of a region's keys that stay at home may move in a second. */
export function maxStepPerSecond({ share, windowMilliseconds }: RegionShiftLimit): number {
  return (STEP_PART * share * MILLISECONDS_PER_SECOND) / windowMilliseconds;
}

export interface OverflowBudgetOptions {
  readonly clock: Clock;
  readonly bound: RegionShiftLimit;
  readonly ownName: string;
}

/**
 * This host's part of what may leave the region that placement gives it because of a wait: a share
 * of its own requests, so that the parts of a region's hosts add up to the share without a message.
 *
 * Load that it answers: hundreds of hosts, each of which has so few requests in a window that its part
 * is less than one. Such a part is saved until it is a whole overflow, one at most, and only by so
 * many hosts of a region that what all of them saved fits into the bound at once. Without that, a host
 * with fewer than 17 requests in two seconds refuses what targets elsewhere have room for: 293 of 2,403
 * uploads of a day with 195 hosts.
 */
export class OverflowBudget {
  readonly #options: OverflowBudgetOptions;
  readonly #requests: SlidingWindowCounter;
  readonly #overflows: SlidingWindowCounter;
  readonly #share: number;
  /** Where this host stands among all, from 0 to 1; those below the holders' part save. */
  readonly #position: number;
  #holders = 0;
  #saved = 0;

  constructor(options: OverflowBudgetOptions) {
    const { clock, bound, ownName } = options;
    this.#options = options;
    this.#requests = new SlidingWindowCounter(clock, bound.windowMilliseconds);
    this.#overflows = new SlidingWindowCounter(clock, bound.windowMilliseconds);
    this.#share = OVERFLOW_PART * bound.share;
    this.#position = stableHash(`overflow ${ownName}`) / HASH_RANGE;
  }

  /**
   * Takes over what the region's hosts are and do together.
   *
   * @param requestsPerSecond - of all callers of the own region
   * @param hosts - registered entry hosts of the region, with and without callers
   */
  setRegion(requestsPerSecond: number, hosts: number): void {
    const { windowMilliseconds } = this.#options.bound;
    const requests = (requestsPerSecond * windowMilliseconds) / MILLISECONDS_PER_SECOND;
    this.#holders = (SAVED_SHARE * requests) / Math.max(1, hosts);
    if (this.#position >= this.#holders) {
      this.#saved = 0;
    }
  }

  recordRequest(): void {
    this.#requests.add();
    if (this.#position < this.#holders) {
      this.#saved = Math.min(1, this.#saved + this.#share);
    }
  }

  recordOverflow(): void {
    if (!this.#isWithinWindow) {
      this.#saved = 0;
    }
    this.#overflows.add();
  }

  get hasRoom(): boolean {
    return this.#isWithinWindow || this.#saved >= 1;
  }

  /** Whether the requests of the last window alone allow one more. */
  get #isWithinWindow(): boolean {
    return this.#overflows.total + 1 <= this.#share * this.#requests.total;
  }
}
