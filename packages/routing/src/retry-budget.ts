import type { Clock } from '@ferrylock/utils';
import { SlidingWindowCounter } from './sliding-window-counter.js';

/** Fraction of the budget that is used; the rest covers clock drift and messages in flight. */
const UTILIZATION = 0.8;
/** Limit on the retries of a service over all entry hosts together. */
export interface RetryBudgetSettings {
  /** Allowed retries per request. */
  readonly ratio: number;
  /** Additional retries in each window, over all entry hosts. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/**
 * Retry budget of this entry host: a ratio of its own requests plus an equal share of the slack.
 * The budgets of all hosts add up to the limit without coordination.
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

  /** @param hosts - number of entry hosts that share the slack */
  tryAcquire(hosts: number): boolean {
    const { ratio, slack } = this.bound;
    const allowed = UTILIZATION * (ratio * this.#requests.total + slack / hosts);
    if (this.#retries.total + 1 > allowed) {
      return false;
    }
    this.#retries.add();
    return true;
  }
}
