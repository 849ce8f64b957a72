import type { Clock, Random } from '@ferrylock/utils';
import type { UsageElsewhere } from '../accounts/account-quota.js';
import { SlidingWindowCounter } from '../sliding-window-counter.js';
import { AdaptiveRequestRate } from './adaptive-request-rate.js';

/** Window in which a target gets no more requests than its limit allows. */
export const LIMIT_WINDOW_MILLISECONDS = 4_000;
const WINDOW_SECONDS = LIMIT_WINDOW_MILLISECONDS / 1_000;
const BUCKETS = 80;
/** Time until a report of one host has reached all others. */
const PROPAGATION_MILLISECONDS = 600;
/** Share of the unused capacity of a window that may be used per second. */
const CATCH_UP_PER_SECOND = 1;
/** Burst of a host, as time at its rate; callers do not arrive evenly. */
const BURST_SECONDS = 0.2;
/** Average age of reports. */
const AVERAGE_REPORT_AGE_MILLISECONDS = 500;
/** Ratio of unreported demand to capacity from which admission is random. */
const MAX_DEMAND_RATIO = 1.5;
/** Limit on the time over which retries of refused callers are spread. */
const MAX_RETRY_SPREAD_MILLISECONDS = 4_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** View that one host has of the limit of a target. */
export interface LimitView {
  /** Usage of all other hosts, as last reported. */
  readonly usageElsewhere: UsageElsewhere;
  /** Fraction of the registered hosts, including this one, whose reports arrive. */
  readonly visibleHostShare: number;
  readonly hosts: number;
  /** Rank of this host among all hosts for this target, from 0; the same order on all hosts. */
  readonly place: () => number;
}

/** Demand of the callers of a host, as reported. */
interface ReportedDemand {
  readonly at: number;
  readonly perSecond: number;
}

/**
 * Share of one host in the limit that a target advertises for all hosts together. The share follows
 * the fraction of the total demand that arrives at this host, but only as far as its reports have
 * reached the other hosts, so that all shares add up to the limit even while demand moves or
 * surges. Unused capacity of the last window is caught up, and no request is admitted that would
 * exceed the limit in the window.
 */
export class LimitShare {
  perSecond: number;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #used: SlidingWindowCounter;
  readonly #demand: AdaptiveRequestRate;
  readonly #refused: SlidingWindowCounter;
  #reports: ReportedDemand[] = [];
  /** Tokens, in fractions of a request; negative after a request was admitted at random. */
  #tokens = 0;
  #refilledAt: number;

  constructor(clock: Clock, random: Random, perSecond: number) {
    this.#clock = clock;
    this.#random = random;
    this.perSecond = perSecond;
    const windowMilliseconds = (LIMIT_WINDOW_MILLISECONDS * BUCKETS) / (BUCKETS - 1);
    this.#used = new SlidingWindowCounter(clock, windowMilliseconds, BUCKETS);
    this.#demand = new AdaptiveRequestRate(clock);
    this.#refused = new SlidingWindowCounter(clock, PROPAGATION_MILLISECONDS);
    this.#refilledAt = clock.now();
  }

  /** Requests of this host in the last window. */
  get used(): number {
    return this.#used.total;
  }

  /** Demand at this host in requests per second, regardless of the limit. */
  get demandPerSecond(): number {
    return this.#demand.perSecond;
  }

  /** Returns the usage to report to peers now. */
  report(view: LimitView): UsageElsewhere {
    this.#refill(view);
    const at = this.#clock.now();
    const perSecond = this.demandPerSecond;
    this.#reports.push({ at, perSecond });
    const firstKept = this.#reports.findLastIndex(
      (report) => report.at <= at - PROPAGATION_MILLISECONDS,
    );
    this.#reports.splice(0, Math.max(0, firstKept));
    return { used: this.used, demandPerSecond: perSecond };
  }

  /** Admits a request if the share allows it. */
  tryAcquire(view: LimitView): boolean {
    this.#refill(view);
    this.#demand.record();
    // Random, so that shares far below one request do not wait to save a whole one.
    if (this.#random.next() >= this.#tokens || !this.#hasCapacity(view)) {
      this.#refused.add();
      return false;
    }
    this.#tokens--;
    this.#used.add();
    return true;
  }

  /** Undoes the admission of a request that was not sent. */
  release(): void {
    this.#tokens++;
    this.#used.add(-1);
  }

  /** Requests per second that this host may send. */
  ratePerSecond(view: LimitView): number {
    const limit = this.perSecond * view.visibleHostShare;
    const available = limit + CATCH_UP_PER_SECOND * Math.max(0, this.#capacity(view));
    const { demandPerSecond: othersPerSecond } = view.usageElsewhere;
    const claim = view.hosts === 1 ? this.demandPerSecond : this.#claim;
    const load = Math.min(1, (othersPerSecond + claim) / limit);
    const byDemand = claim === 0 ? 0 : (load * claim) / (claim + othersPerSecond);
    return available * (byDemand + (1 - load) * this.#idleShare(view, (1 - load) * limit));
  }

  /** Wait until a request may be sent, in milliseconds; spreads the retries of refused requests. */
  waitMilliseconds(view: LimitView): number {
    this.#refill(view);
    const rate = Math.max(this.ratePerSecond(view), this.perSecond / view.hosts);
    const forOne = (MILLISECONDS_PER_SECOND * Math.max(0, 1 - this.#tokens)) / rate;
    const forCapacity = this.#capacity(view) <= 0 ? MILLISECONDS_PER_SECOND / this.perSecond : 0;
    const first = Math.max(forOne, forCapacity);
    const queued = (MILLISECONDS_PER_SECOND * Math.max(0, this.#refused.total - 1)) / rate;
    return first + Math.min(MAX_RETRY_SPREAD_MILLISECONDS, queued);
  }

  /** Requests that may still reach the target in this window, as far as this host knows. */
  #capacity({ usageElsewhere, visibleHostShare }: LimitView): number {
    const max = Math.max(1, visibleHostShare * this.perSecond * WINDOW_SECONDS);
    return max - usageElsewhere.used - this.used;
  }

  /**
   * Tells whether there is capacity. Random if demand far exceeds it, so that hosts do not all send
   * before they receive the reports of each other.
   */
  #hasCapacity(view: LimitView): boolean {
    const capacity = this.#capacity(view);
    const unreported =
      (view.usageElsewhere.demandPerSecond * AVERAGE_REPORT_AGE_MILLISECONDS) /
      MILLISECONDS_PER_SECOND;
    return capacity > 0 && this.#random.next() * unreported < MAX_DEMAND_RATIO * (capacity + 1);
  }

  /** Demand at this host as far as all other hosts know it. */
  get #claim(): number {
    const [first] = this.#reports;
    const isKnown = first !== undefined && first.at <= this.#clock.now() - PROPAGATION_MILLISECONDS;
    return isKnown
      ? Math.min(this.demandPerSecond, ...this.#reports.map(({ perSecond }) => perSecond))
      : 0;
  }

  /**
   * Share of this host in the capacity without demand, so that new callers are served. Only as many
   * hosts hold a share as can each send one request per window, since all may use it at once.
   */
  #idleShare({ hosts, place }: LimitView, perSecond: number): number {
    const holderCount = Math.max(1, Math.min(hosts, Math.floor(perSecond * WINDOW_SECONDS)));
    return holderCount === hosts || place() < holderCount ? 1 / holderCount : 0;
  }

  #refill(view: LimitView): void {
    const now = this.#clock.now();
    const seconds = (now - this.#refilledAt) / MILLISECONDS_PER_SECOND;
    const rate = this.ratePerSecond(view);
    // Idle hosts keep no burst: if callers returned to all hosts at once, all bursts would add up.
    const burst = Math.max(1, BURST_SECONDS * rate);
    const isIdle = this.demandPerSecond === 0;
    const max = isIdle ? Math.min(burst, WINDOW_SECONDS * rate) : burst;
    this.#tokens = Math.min(max, this.#tokens + seconds * rate);
    this.#refilledAt = now;
  }
}
