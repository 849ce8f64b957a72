import type { Clock, Random } from '@ferrylock/utils';
import { RequestRate } from '../request-rate.js';
import { SlidingWindowCounter } from '../sliding-window-counter.js';
import type { ClientAccount } from './client-account.js';

/** How accounts' requests are counted, over all entry hosts together. */
export interface QuotaPolicy {
  readonly windowMilliseconds: number;
  /** Part of an account's requests in a window that may come on top before the bound is broken. */
  readonly overage: number;
  /** Requests in a window that may come on top of that. */
  readonly slack: number;
}

/** What is known here of one account at all other entry hosts. */
export interface UsageElsewhere {
  /** Requests that they let run in the last window. */
  readonly used: number;
  /** Requests a second that come to them. */
  readonly demandPerSecond: number;
}

/** Why a request of an account may not run now, and when one may. */
export interface QuotaRefusal {
  readonly retryAfterSeconds: number;
  readonly limit: number;
  readonly usedHere: number;
  /** What other hosts are known to have used. */
  readonly usedElsewhere: number;
}

/** How much of the fleet is known here. */
export interface PeerVisibility {
  /** Whether there is no other host. */
  readonly isAlone: boolean;
  /** How long ago the use of most other hosts was told last, in milliseconds. */
  readonly peerReportAgeMilliseconds: number;
  /** This host's part where it knows nothing of others; all such parts add up to less than one. */
  readonly isolatedShare: number;
  /** Part of the window of which nobody remembers what was used, from 0 to 1. */
  readonly unaccountedShare: number;
}

/**
 * What an account may use beyond its limit, as a part of the slack: it makes up for the window that is longer than
 * it must be. The rest, and the whole overage, is for messages under way: with this no window passed its bound in
 * 1,000 emulated series of kills, cuts, starts and rushes over 12 hosts.
 */
const USED_SHARE_OF_SLACK = 0.4;
/** Time in which what one host lets run comes to be known to all: reports, two relays, digests. */
const SPREAD_MILLISECONDS = 800;
/** Age from which news counts as old: more than the time between two digests to a host with callers. */
const STALE_MILLISECONDS = 500;
/** Age from which a host takes itself to be cut off: more than the time between digests to any host. */
const CUT_OFF_MILLISECONDS = 1_200;
/** Part of the room that is left alone while nothing that ran in the window is remembered. */
const CAUTION = 0.6;
/** Part of its part of the room that a host takes on old news: others may not hear of it. */
const STALE_PART = 0.15;
/**
 * Part of what a window may have that one host lets run in the time that news takes to spread: where a flood comes to
 * many hosts that were at rest, each would let the whole limit run (39 requests at 3 hosts where 33 may). An account whose
 * callers all sit at one host may still have one and a half times its limit that way.
 */
const LARGEST_TURN = 0.25;
/** Requests that run on old news at any rate, so that callers who just came are not refused. */
const RUNS_ON_STALE_NEWS = 2;
/**
 * Buckets of the window. The oldest goes as a whole, so that the window is this much longer than it
 * must be: a fortieth, which costs as much of the limit at the most.
 */
const BUCKETS = 40;
/** Stretch over which a host takes the rate of its own callers. */
const RATE_MILLISECONDS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** Requests a second that are taken to be asked for at least, so that a first one has a part. */
const LEAST_ASKED = 0.1;
/** Room counts as ample from so many times what is asked for until all know of it. */
const AMPLE = 1;
const LONGEST_WAIT_SECONDS = 5;

/**
 * One account's use of its limit, as one host sees it. It counts exactly what it lets run itself and
 * hears some time later what others let run. While there is far more room than can be used until all
 * know of it, every request may run; near the limit each host takes, in the time that news takes to
 * spread, a part of the room that is left as large as its part of what is asked for. The parts add
 * up to the room, so that the limit is reached and not passed.
 */
export class AccountQuota {
  readonly #random: Random;
  readonly #bound: QuotaPolicy;
  /** Requests that this host let run. */
  readonly #used: SlidingWindowCounter;
  readonly #usedLately: SlidingWindowCounter;
  readonly #asked: RequestRate;
  readonly #refused: SlidingWindowCounter;
  #account: ClientAccount;
  /** What this host had used, and its part of what is asked for, when news of the others was fresh. */
  #usedWhenHeard = 0;
  #partWhenHeard = 0;
  /** Requests that were to run since then. */
  #runsSinceHeard = 0;

  constructor(account: ClientAccount, clock: Clock, random: Random, bound: QuotaPolicy) {
    this.#account = account;
    this.#random = random;
    this.#bound = bound;
    const covered = (bound.windowMilliseconds * BUCKETS) / (BUCKETS - 1);
    this.#used = new SlidingWindowCounter(clock, covered, BUCKETS);
    this.#usedLately = new SlidingWindowCounter(clock, SPREAD_MILLISECONDS);
    this.#asked = new RequestRate(clock, RATE_MILLISECONDS);
    this.#refused = new SlidingWindowCounter(clock, RATE_MILLISECONDS);
  }

  set account(account: ClientAccount) {
    this.#account = account;
  }

  /** Requests of this host in the last window. */
  get used(): number {
    return this.#used.total;
  }

  /** Requests a second of this host's callers. */
  get demandPerSecond(): number {
    return this.#asked.perSecond;
  }

  /** Requests that may run in a window, without what is allowed on top. */
  get limit(): number {
    const { requestsPerSecond, burst } = this.#account;
    const seconds = this.#bound.windowMilliseconds / MILLISECONDS_PER_SECOND;
    return requestsPerSecond * seconds + burst;
  }

  /**
   * Lets a request run, or tells why not.
   *
   * @returns undefined where it may run
   */
  acquire(others: UsageElsewhere, fleet: PeerVisibility): QuotaRefusal | undefined {
    this.#asked.record();
    if (!this.#mayRun(others, fleet)) {
      this.#refused.add();
      return {
        retryAfterSeconds: this.#secondsUntilRoom(others),
        limit: this.limit,
        usedHere: this.used,
        usedElsewhere: others.used,
      };
    }
    this.charge(1);
    return undefined;
  }

  /** Counts further runs of a request that was let run, or that it did not run after all (-1). */
  charge(runs: number): void {
    this.#used.add(runs);
    this.#usedLately.add(runs);
  }

  #mayRun(others: UsageElsewhere, fleet: PeerVisibility): boolean {
    const most = this.#most - fleet.unaccountedShare * this.limit;
    if (fleet.peerReportAgeMilliseconds > CUT_OFF_MILLISECONDS) {
      return this.used + 1 <= Math.max(fleet.isolatedShare * most, this.#heldUse(fleet));
    }
    // Who has forgotten what ran knows as little of what is asked for elsewhere.
    const certainty = 1 - CAUTION * fleet.unaccountedShare;
    const room = certainty * (most - others.used - this.used);
    const turn = Math.max(RUNS_ON_STALE_NEWS, LARGEST_TURN * most);
    const isFlood = !fleet.isAlone && this.#usedLately.total + 1 > turn;
    if (room < 1 || isFlood) {
      return false;
    }
    if (fleet.peerReportAgeMilliseconds > STALE_MILLISECONDS) {
      this.#runsSinceHeard++;
      return (
        this.#runsSinceHeard <=
        Math.max(RUNS_ON_STALE_NEWS, STALE_PART * this.#partWhenHeard * room)
      );
    }
    const own = Math.max(LEAST_ASKED, this.demandPerSecond);
    const asked = others.demandPerSecond + own;
    const part = own / asked;
    this.#usedWhenHeard = this.used;
    this.#partWhenHeard = part;
    this.#runsSinceHeard = 0;
    const askedMeanwhile = (asked * SPREAD_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    return room > AMPLE * askedMeanwhile || this.#isInPart(room, part);
  }

  /**
   * What a host may use that is cut off from the others: as much as when it was heard last, for as long as the
   * others count with that (see {@link HeldCounts}).
   */
  #heldUse({ peerReportAgeMilliseconds: deafMilliseconds }: PeerVisibility): number {
    const over = deafMilliseconds / this.#bound.windowMilliseconds - 1;
    return this.#usedWhenHeard * Math.max(0, Math.min(1, 1 - over));
  }

  /** Whether one more lies within this host's part; a part of a request is decided by chance. */
  #isInPart(room: number, part: number): boolean {
    const lately = this.#usedLately.total;
    return this.#random.next() < part * (room + lately) - lately;
  }

  get #most(): number {
    return this.limit + USED_SHARE_OF_SLACK * this.#bound.slack;
  }

  /** Room comes at the account's rate, and those that were refused lately come back for it first. */
  #secondsUntilRoom(others: UsageElsewhere): number {
    const { requestsPerSecond } = this.#account;
    const missing = 1 + others.used + this.#used.total - this.#most;
    const waiting = Math.max(0, missing) + this.#refused.total;
    return Math.min(LONGEST_WAIT_SECONDS, waiting / Math.max(1, requestsPerSecond));
  }
}
