import { stablePosition } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import { SlidingWindowCounter } from './sliding-window-counter.js';

/** Fraction of the ratio that is granted, which leaves room for credit that is saved and spent at once. */
const RATIO_UTILIZATION = 0.76;
/** Part of a window for which credit that requests earn is saved; short, since callers move on to other hosts. */
const RATIO_SAVED_WINDOWS = 0.2;
/** Fraction of the slack that is granted. */
const SLACK_UTILIZATION = 0.65;
/** Part of a window for which credit of the slack is saved, so that services with few requests have whole retries. */
const SLACK_SAVED_WINDOWS = 0.45;

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
  /** Part of the fleet's slack that this host has, from 0 to 1. */
  readonly slackShare: number;
  /** Time since which it counts. */
  readonly ageMilliseconds: number;
}

export interface RetryBudgetOptions {
  readonly clock: Clock;
  readonly bound: RetryBudgetSettings;
  /** Name of this host and service; spreads over hosts which parts of a retry are rounded up. */
  readonly name: string;
}

/**
 * Retry budget of this entry host for one service. Requests and time earn credit, which retries
 * spend and which expires soon. So the credit of all hosts adds up to the limit without
 * coordination, although hosts forget what they spent when they start, and although callers move
 * between hosts: each request earns at one host, once, and its credit is spent about when it came.
 *
 * Many hosts may have less than one retry each. Parts of a retry are added up when they are spent.
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #slackShare = 0;
  readonly #createdAt: number;
  readonly #recentRequests: SlidingWindowCounter;
  readonly #requests: SlidingWindowCounter;
  readonly #repeats: SlidingWindowCounter;
  /** Credit that requests earned. */
  #ofRequests = 0;
  /** Credit of this host's part of the slack. */
  #ofSlack = 0;
  #refilledAt: number;
  /** Spent parts of retries that do not amount to a whole one yet. */
  #parts: number;

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
    const { clock, bound, name } = options;
    this.#createdAt = clock.now();
    this.#refilledAt = this.#createdAt;
    this.#recentRequests = new SlidingWindowCounter(
      clock,
      RATIO_SAVED_WINDOWS * bound.windowMilliseconds,
    );
    this.#requests = new SlidingWindowCounter(clock, bound.windowMilliseconds);
    this.#repeats = new SlidingWindowCounter(clock, bound.windowMilliseconds);
    this.#parts = stablePosition(`retry ${name}`);
  }

  /** Sets the part of the fleet's slack that this host earns from now on, from 0 to 1. */
  set slackShare(share: number) {
    this.#refill();
    this.#slackShare = share;
  }

  recordRequest(): void {
    this.#requests.add();
    this.#recentRequests.add();
    this.#ofRequests += RATIO_UTILIZATION * this.#options.bound.ratio;
  }

  /** Acquires one retry. */
  tryAcquire(): boolean {
    this.#refill();
    this.#parts += this.#spend();
    if (this.#parts < 1) {
      return false;
    }
    this.#parts--;
    this.#repeats.add();
    return true;
  }

  /** Returns a retry that was acquired and not sent. */
  release(): void {
    this.#repeats.add(-1);
    this.#ofRequests++;
  }

  get state(): RetryBudgetState {
    this.#refill();
    return {
      requests: this.#requests.total,
      repeats: this.#repeats.total,
      available: this.#ofRequests + this.#ofSlack,
      slackShare: this.#slackShare,
      ageMilliseconds: this.#options.clock.now() - this.#createdAt,
    };
  }

  /** Spends one retry, or what there is of one; credit that expires sooner first. */
  #spend(): number {
    const ofRequests = Math.min(1, this.#ofRequests);
    const ofSlack = Math.min(1 - ofRequests, this.#ofSlack);
    this.#ofRequests -= ofRequests;
    this.#ofSlack -= ofSlack;
    return ofRequests + ofSlack;
  }

  /** Adds what time has earned, and drops credit that was earned too long ago. */
  #refill(): void {
    const { clock, bound } = this.#options;
    const now = clock.now();
    const mostOfRequests = RATIO_UTILIZATION * bound.ratio * this.#recentRequests.total;
    this.#ofRequests = Math.min(this.#ofRequests, mostOfRequests);
    const slackPerWindow = SLACK_UTILIZATION * this.#slackShare * bound.slack;
    const windows = (now - this.#refilledAt) / bound.windowMilliseconds;
    this.#ofSlack = Math.min(
      this.#ofSlack + slackPerWindow * windows,
      slackPerWindow * SLACK_SAVED_WINDOWS,
    );
    this.#refilledAt = now;
  }
}
