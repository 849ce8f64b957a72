import type { Clock } from '@ferrylock/utils';
import { SlidingCount } from './sliding-count.js';

/** Part of each shared limit that is left unused, for clocks that differ and messages under way. */
const MARGIN = 0.8;
/** A bound on what retries add to a service's arrivals, over all entry hosts together. */
export interface RetryBound {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries that may come on top in each window, over all entry hosts. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/**
 * This entry host's part of a service's retry bound: a share of its own requests, and an equal part
 * of the slack. Holds without a message, since parts of the requests add up to the requests.
 */
export class RetryAllowance {
  readonly #requests: SlidingCount;
  readonly #retries: SlidingCount;

  constructor(
    clock: Clock,
    readonly bound: RetryBound,
  ) {
    this.#requests = new SlidingCount(clock, bound.windowMilliseconds);
    this.#retries = new SlidingCount(clock, bound.windowMilliseconds);
  }

  recordRequest(): void {
    this.#requests.add();
  }

  /** @param hosts - entry hosts that the slack is divided among */
  tryTake(hosts: number): boolean {
    const { ratio, slack } = this.bound;
    const allowed = MARGIN * (ratio * this.#requests.total + slack / hosts);
    if (this.#retries.total + 1 > allowed) {
      return false;
    }
    this.#retries.add();
    return true;
  }
}
