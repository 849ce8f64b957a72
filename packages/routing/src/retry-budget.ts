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

/** What a host counts and grants of one service's repeats. */
export interface RetryBudgetState {
  /** Requests counted in the last window. */
  readonly requests: number;
  /** Repeats granted in the last window. */
  readonly repeats: number;
  /** Repeats that would be granted now, in parts of one. */
  readonly available: number;
  /** Number of hosts by which the slack was last divided. */
  readonly hosts: number;
  /** Time since which it counts. */
  readonly ageMilliseconds: number;
}

/**
 * Retry budget of this entry host: a ratio of its own requests plus an equal share of the slack.
 * The budgets of all hosts add up to the limit without coordination.
 */
export class RetryBudget {
  readonly #requests: SlidingWindowCounter;
  readonly #retries: SlidingWindowCounter;
  readonly #createdAt: number;
  #hosts = 1;

  constructor(
    readonly clock: Clock,
    readonly bound: RetryBudgetSettings,
  ) {
    this.#createdAt = clock.now();
    this.#requests = new SlidingWindowCounter(clock, bound.windowMilliseconds);
    this.#retries = new SlidingWindowCounter(clock, bound.windowMilliseconds);
  }

  recordRequest(): void {
    this.#requests.add();
  }

  /** @param hosts - number of entry hosts that share the slack */
  tryAcquire(hosts: number): boolean {
    this.#hosts = hosts;
    if (this.#available < 1) {
      return false;
    }
    this.#retries.add();
    return true;
  }

  get state(): RetryBudgetState {
    return {
      requests: this.#requests.total,
      repeats: this.#retries.total,
      available: this.#available,
      hosts: this.#hosts,
      ageMilliseconds: this.clock.now() - this.#createdAt,
    };
  }

  get #available(): number {
    const { ratio, slack } = this.bound;
    const allowed = UTILIZATION * (ratio * this.#requests.total + slack / this.#hosts);
    return allowed - this.#retries.total;
  }
}
