import type { Clock } from '@ferrylock/utils';
import { SlidingWindowCounter } from './sliding-window-counter.js';

/** Part of each shared limit that is left unused, for clocks that differ and messages under way. */
const MARGIN = 0.8;
/** A bound on what retries add to a service's arrivals, over all entry hosts together. */
export interface RetryBudgetSettings {
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
export class RetryBudget {
  readonly #requests: SlidingWindowCounter;
  readonly #retries: SlidingWindowCounter;

  constructor(
    clock: Clock,
    readonly bound: RetryBudgetSettings,
  ) {
    this.#requests = new SlidingWindowCounter(clock, bound.windowMilliseconds);
    this.#retries = new SlidingWindowCounter(clock, bound.windowMilliseconds);
  }

  recordRequest(): void {
    this.#requests.add();
  }

  /** @param hosts - entry hosts that the slack is divided among */
  tryAcquire(hosts: number): boolean {
    const { ratio, slack } = this.bound;
    const allowed = MARGIN * (ratio * this.#requests.total + slack / hosts);
    if (this.#retries.total + 1 > allowed) {
      return false;
    }
    this.#retries.add();
    return true;
  }
}
