import type { Clock, Random } from '@ferrylock/utils';
import { RequestRate } from '../request-rate.js';
import { SlidingWindowCounter } from '../sliding-window-counter.js';
import type { ClientAccount } from './client-account.js';

/** Accounting policy of quotas over all entry hosts together. */
export interface QuotaPolicy {
  readonly windowMilliseconds: number;
  /** Allowed overage as a fraction of the limit in a window. */
  readonly overage: number;
  /** Additional requests allowed in a window. */
  readonly slack: number;
}

/** Usage of one account at all other entry hosts, as known here. */
export interface UsageElsewhere {
  /** Requests that they admitted in the last window. */
  readonly used: number;
  /** Requests per second that arrive there. */
  readonly demandPerSecond: number;
}

/** Refusal of a request over quota, with the time to retry. */
export interface QuotaRefusal {
  readonly retryAfterSeconds: number;
  readonly limit: number;
  readonly usedHere: number;
  /** Reported usage of other hosts. */
  readonly usedElsewhere: number;
}

/** Visibility of the other hosts of the fleet. */
export interface PeerVisibility {
  /** Tells whether this is the only host. */
  readonly isAlone: boolean;
  /** Age of the last reports of most other hosts, in milliseconds. */
  readonly peerReportAgeMilliseconds: number;
  /** Share of this host while isolated; the shares of all hosts add up to less than one. */
  readonly isolatedShare: number;
  /** Share of the window without usage data, from 0 to 1. */
  readonly unaccountedShare: number;
}

/**
 * Fraction of the slack that may be used in addition to the limit; compensates for the window that
 * is longer than necessary. The remaining slack and the overage cover reports in flight.
 */
const SLACK_UTILIZATION = 0.4;
/** Time until the usage of one host is known to all: reports, two relays, digests. */
const PROPAGATION_MILLISECONDS = 800;
/** Age from which reports are stale; longer than the digest interval for hosts with callers. */
const STALE_MILLISECONDS = 500;
/** Age from which a host is isolated; longer than the digest interval for any host. */
const ISOLATION_MILLISECONDS = 1_200;
/** Fraction of the remaining quota that is withheld while the whole window lacks usage data. */
const UNACCOUNTED_RESERVE = 0.6;
/** Fraction of its share of the remaining quota that a host uses on stale reports. */
const STALE_SHARE = 0.15;
/**
 * Fraction of the limit that one host admits in that time, so that idle hosts share a surge.
 * Otherwise each of them would admit the whole limit before it knew of the others.
 */
const MAX_BURST_SHARE = 0.25;
/** Minimum number of requests admitted on stale reports, so that new callers are not refused. */
const MIN_STALE_RUNS = 2;
/**
 * Buckets of the window, which is one bucket longer than necessary: the oldest expires as a whole.
 * That costs up to a fortieth of the limit.
 */
const BUCKETS = 40;
/** Window over which a host measures the demand of its own callers. */
const RATE_MILLISECONDS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** Minimum demand in requests per second, so that the first request has a share. */
const MIN_DEMAND_PER_SECOND = 0.1;
/** Ratio of remaining quota to expected demand from which every request is admitted. */
const AMPLE_RATIO = 1;
const MAX_WAIT_SECONDS = 5;

/**
 * Quota of one account as seen by one host. It counts its own admissions exactly and learns those
 * of other hosts with a delay. While the remaining quota far exceeds what can be used within that
 * delay, every request is admitted. Near the limit, each host admits a share of the remaining quota
 * in proportion to its share of the demand. The shares add up to the remaining quota, so that the
 * limit is reached and not exceeded.
 */
export class AccountQuota {
  readonly #random: Random;
  readonly #policy: QuotaPolicy;
  /** Requests that this host admitted. */
  readonly #used: SlidingWindowCounter;
  readonly #usedRecently: SlidingWindowCounter;
  readonly #demand: RequestRate;
  readonly #refused: SlidingWindowCounter;
  #account: ClientAccount;
  /** Usage and share of the demand of this host when reports were last fresh. */
  #usedWhenFresh = 0;
  #shareWhenFresh = 0;
  /** Requests received since then. */
  #runsSinceFresh = 0;

  constructor(account: ClientAccount, clock: Clock, random: Random, policy: QuotaPolicy) {
    this.#account = account;
    this.#random = random;
    this.#policy = policy;
    const windowMilliseconds = (policy.windowMilliseconds * BUCKETS) / (BUCKETS - 1);
    this.#used = new SlidingWindowCounter(clock, windowMilliseconds, BUCKETS);
    this.#usedRecently = new SlidingWindowCounter(clock, PROPAGATION_MILLISECONDS);
    this.#demand = new RequestRate(clock, RATE_MILLISECONDS);
    this.#refused = new SlidingWindowCounter(clock, RATE_MILLISECONDS);
  }

  get account(): ClientAccount {
    return this.#account;
  }

  set account(account: ClientAccount) {
    this.#account = account;
  }

  /** Requests of this host in the last window. */
  get used(): number {
    return this.#used.total;
  }

  /** Demand of the callers of this host in requests per second. */
  get demandPerSecond(): number {
    return this.#demand.perSecond;
  }

  /** Requests allowed in a window, without overage and slack. */
  get limit(): number {
    const { requestsPerSecond, burst } = this.#account;
    const seconds = this.#policy.windowMilliseconds / MILLISECONDS_PER_SECOND;
    return requestsPerSecond * seconds + burst;
  }

  /**
   * Admits a request.
   *
   * @returns undefined if admitted, or the refusal
   */
  acquire(usageElsewhere: UsageElsewhere, visibility: PeerVisibility): QuotaRefusal | undefined {
    this.#demand.record();
    if (!this.#isWithinQuota(usageElsewhere, visibility)) {
      this.#refused.add();
      return {
        retryAfterSeconds: this.#secondsUntilAdmission(usageElsewhere),
        limit: this.limit,
        usedHere: this.used,
        usedElsewhere: usageElsewhere.used,
      };
    }
    this.charge(1);
    return undefined;
  }

  /** Counts further runs of an admitted request, or reverts one that did not run (-1). */
  charge(runs: number): void {
    this.#used.add(runs);
    this.#usedRecently.add(runs);
  }

  #isWithinQuota(usageElsewhere: UsageElsewhere, peers: PeerVisibility): boolean {
    const max = this.#max - peers.unaccountedShare * this.limit;
    if (peers.peerReportAgeMilliseconds > ISOLATION_MILLISECONDS) {
      return this.used + 1 <= Math.max(peers.isolatedShare * max, this.#isolatedUsage(peers));
    }
    // A host without usage data does not know the demand elsewhere either.
    const certainty = 1 - UNACCOUNTED_RESERVE * peers.unaccountedShare;
    const remaining = certainty * (max - usageElsewhere.used - this.used);
    const maxBurst = Math.max(MIN_STALE_RUNS, MAX_BURST_SHARE * max);
    const isBurst = !peers.isAlone && this.#usedRecently.total + 1 > maxBurst;
    if (remaining < 1 || isBurst) {
      return false;
    }
    if (peers.peerReportAgeMilliseconds > STALE_MILLISECONDS) {
      this.#runsSinceFresh++;
      return (
        this.#runsSinceFresh <=
        Math.max(MIN_STALE_RUNS, STALE_SHARE * this.#shareWhenFresh * remaining)
      );
    }
    const own = Math.max(MIN_DEMAND_PER_SECOND, this.demandPerSecond);
    const demand = usageElsewhere.demandPerSecond + own;
    const share = own / demand;
    this.#usedWhenFresh = this.used;
    this.#shareWhenFresh = share;
    this.#runsSinceFresh = 0;
    const expectedDemand = (demand * PROPAGATION_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    return remaining > AMPLE_RATIO * expectedDemand || this.#isWithinShare(remaining, share);
  }

  /**
   * Usage that an isolated host may have: as much as when reports were last fresh, for as long as
   * the others account for it (see {@link ReportedCounts}).
   */
  #isolatedUsage({ peerReportAgeMilliseconds }: PeerVisibility): number {
    const over = peerReportAgeMilliseconds / this.#policy.windowMilliseconds - 1;
    return this.#usedWhenFresh * Math.max(0, Math.min(1, 1 - over));
  }

  /** Tells whether the share allows one more request; fractions are decided at random. */
  #isWithinShare(remaining: number, share: number): boolean {
    const recent = this.#usedRecently.total;
    return this.#random.next() < share * (remaining + recent) - recent;
  }

  get #max(): number {
    return this.limit + SLACK_UTILIZATION * this.#policy.slack;
  }

  /** Estimates the time until a request is admitted; recently refused callers retry first. */
  #secondsUntilAdmission(usageElsewhere: UsageElsewhere): number {
    const { requestsPerSecond } = this.#account;
    const missing = 1 + usageElsewhere.used + this.#used.total - this.#max;
    const waiting = Math.max(0, missing) + this.#refused.total;
    return Math.min(MAX_WAIT_SECONDS, waiting / Math.max(1, requestsPerSecond));
  }
}
