import { stablePosition } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import { SlidingWindowCounter } from './sliding-window-counter.js';

/** Share of the limit reserved for keys that change their region. */
const PLACEMENT_SHARE = 0.4;
/** Share of the limit reserved for requests that leave their region because of a wait. */
const OVERFLOW_SHARE = 0.4;
/**
 * Share of the requests of a region in one window that its hosts may save up as overflows. With
 * the overflows of the window itself it stays below the limit.
 */
const SAVED_SHARE = 0.05;
const MILLISECONDS_PER_SECOND = 1_000;

/** Limit on the share of the requests of a region that may change the region in which they run. */
export interface RegionShiftLimit {
  /** Share from 0 to 1, between consecutive windows. */
  readonly share: number;
  readonly windowMilliseconds: number;
}

/** Maximum change per second of the share of keys that a region serves itself. */
export function maxStepPerSecond({ share, windowMilliseconds }: RegionShiftLimit): number {
  return (PLACEMENT_SHARE * share * MILLISECONDS_PER_SECOND) / windowMilliseconds;
}

export interface OverflowBudgetOptions {
  readonly clock: Clock;
  readonly bound: RegionShiftLimit;
  readonly ownName: string;
}

/**
 * Budget of this host for requests that leave the region of their placement because of a wait: a
 * share of its own requests, so that the budgets of all hosts of a region add up without
 * coordination.
 *
 * With many hosts, the share of one host in a window is less than one request. Such a host saves
 * its share up to one whole overflow; without this it would refuse requests that targets elsewhere
 * have capacity for. Only as many hosts of a region save as fit into the limit if all of them
 * overflow at once.
 */
export class OverflowBudget {
  readonly #options: OverflowBudgetOptions;
  readonly #requests: SlidingWindowCounter;
  readonly #overflows: SlidingWindowCounter;
  readonly #share: number;
  /** Position of this host among all hosts, from 0 to 1. Hosts below the saver share may save. */
  readonly #position: number;
  #saverShare = 0;
  #saved = 0;

  constructor(options: OverflowBudgetOptions) {
    const { clock, bound, ownName } = options;
    this.#options = options;
    this.#requests = new SlidingWindowCounter(clock, bound.windowMilliseconds);
    this.#overflows = new SlidingWindowCounter(clock, bound.windowMilliseconds);
    this.#share = OVERFLOW_SHARE * bound.share;
    this.#position = stablePosition(`overflow ${ownName}`);
  }

  /**
   * Updates the demand and the host count of the region.
   *
   * @param requestsPerSecond - of all callers of this region
   * @param hosts - registered entry hosts of the region, with and without callers
   */
  setRegion(requestsPerSecond: number, hosts: number): void {
    const { windowMilliseconds } = this.#options.bound;
    const requests = (requestsPerSecond * windowMilliseconds) / MILLISECONDS_PER_SECOND;
    this.#saverShare = (SAVED_SHARE * requests) / Math.max(1, hosts);
    if (this.#position >= this.#saverShare) {
      this.#saved = 0;
    }
  }

  recordRequest(): void {
    this.#requests.add();
    if (this.#position < this.#saverShare) {
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

  /** Tells whether the requests of the last window alone allow another overflow. */
  get #isWithinWindow(): boolean {
    return this.#overflows.total + 1 <= this.#share * this.#requests.total;
  }
}
