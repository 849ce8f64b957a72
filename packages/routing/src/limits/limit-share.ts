import type { Clock, Random } from '@ferrylock/utils';
import type { UsageElsewhere } from '../accounts/account-quota.js';
import { SlidingWindowCounter } from '../sliding-window-counter.js';
import { AdaptiveRequestRate } from './adaptive-request-rate.js';

/** Stretch in which no more is to reach a target than it named, in milliseconds. */
export const LIMIT_WINDOW_MILLISECONDS = 4_000;
const WINDOW_SECONDS = LIMIT_WINDOW_MILLISECONDS / 1_000;
const BUCKETS = 80;
/** Time in which what one host tells comes to be known to all. */
const SPREAD_MILLISECONDS = 600;
/** Part of the room in a window that is taken up in a second, beside what the limit brings in it. */
const CATCH_UP_PER_SECOND = 1;
/** Requests that a host may save up, as time at its rate: callers do not come evenly. */
const SAVED_SECONDS = 0.2;
/** Age of news on average. */
const UNHEARD_MILLISECONDS = 500;
/** How many times the room may be asked for in that time before chance decides. */
const ASKED_PER_ROOM = 1.5;
/** Longest time that refused callers are spread over. */
const LONGEST_SPREAD_MILLISECONDS = 4_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** What one host knows of a target's limit when a request comes. */
export interface LimitView {
  /** All other hosts, as told last. */
  readonly usageElsewhere: UsageElsewhere;
  /** Part of the registered hosts, this one included, that is heard: the others may use as much of the limit unseen. */
  readonly visibleHostShare: number;
  readonly hosts: number;
  /** This host's place among all hosts for this target, from 0; all hosts come to the same order. */
  readonly place: () => number;
}

/** What a host told of what its callers want. */
interface ToldAsked {
  readonly at: number;
  readonly perSecond: number;
}

/**
 * One host's part of the limit that a target named for all hosts together. It is as large as its part of what all hosts' callers
 * want of the target, but no larger than others know by now: what it told itself that short a time ago counts for nothing,
 * so that the parts of all hosts add up to the limit also while callers move or come in a rush. Requests that are missing
 * in the last window, as others tell, are caught up; none is sent that would be too many in it.
 */
export class LimitShare {
  perSecond: number;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #used: SlidingWindowCounter;
  readonly #asked: AdaptiveRequestRate;
  readonly #refused: SlidingWindowCounter;
  #told: ToldAsked[] = [];
  /** Requests that may be sent, in parts of one; below zero after one that was sent ahead by chance. */
  #saved = 0;
  #reckonedAt: number;

  constructor(clock: Clock, random: Random, perSecond: number) {
    this.#clock = clock;
    this.#random = random;
    this.perSecond = perSecond;
    const covered = (LIMIT_WINDOW_MILLISECONDS * BUCKETS) / (BUCKETS - 1);
    this.#used = new SlidingWindowCounter(clock, covered, BUCKETS);
    this.#asked = new AdaptiveRequestRate(clock);
    this.#refused = new SlidingWindowCounter(clock, SPREAD_MILLISECONDS);
    this.#reckonedAt = clock.now();
  }

  /** Requests of this host in the last window. */
  get used(): number {
    return this.#used.total;
  }

  /** Requests a second that this host would send, were there no limit. */
  get demandPerSecond(): number {
    return this.#asked.perSecond;
  }

  /** What is told to others now. */
  report(sight: LimitView): UsageElsewhere {
    this.#reckon(sight);
    const at = this.#clock.now();
    const perSecond = this.demandPerSecond;
    this.#told.push({ at, perSecond });
    const firstKept = this.#told.findLastIndex((told) => told.at <= at - SPREAD_MILLISECONDS);
    this.#told.splice(0, Math.max(0, firstKept));
    return { used: this.used, demandPerSecond: perSecond };
  }

  /** Lets a request be sent, or does not. */
  tryAcquire(sight: LimitView): boolean {
    this.#reckon(sight);
    this.#asked.record();
    // By chance, since many hosts whose parts are far below one request would else wait to have saved up one each.
    if (this.#random.next() >= this.#saved || !this.#isInRoom(sight)) {
      this.#refused.add();
      return false;
    }
    this.#saved--;
    this.#used.add();
    return true;
  }

  /** A request that was let be sent was not. */
  release(): void {
    this.#saved++;
    this.#used.add(-1);
  }

  /** Requests a second that this host may send. */
  ratePerSecond(sight: LimitView): number {
    const limit = this.perSecond * sight.visibleHostShare;
    const pool = limit + CATCH_UP_PER_SECOND * Math.max(0, this.#room(sight));
    const { demandPerSecond: askedPerSecond } = sight.usageElsewhere;
    const claim = sight.hosts === 1 ? this.demandPerSecond : this.#claim;
    const wanted = Math.min(1, (askedPerSecond + claim) / limit);
    const byAsked = claim === 0 ? 0 : (wanted * claim) / (claim + askedPerSecond);
    return pool * (byAsked + (1 - wanted) * this.#shareUnasked(sight, (1 - wanted) * limit));
  }

  /**
   * Until a request may be sent, in milliseconds; with many that were refused lately, until some of these may be too, so that
   * they do not all come back for the first place.
   */
  waitMilliseconds(sight: LimitView): number {
    this.#reckon(sight);
    const rate = Math.max(this.ratePerSecond(sight), this.perSecond / sight.hosts);
    const forOne = (MILLISECONDS_PER_SECOND * Math.max(0, 1 - this.#saved)) / rate;
    const forRoom = this.#room(sight) <= 0 ? MILLISECONDS_PER_SECOND / this.perSecond : 0;
    const first = Math.max(forOne, forRoom);
    const before = (MILLISECONDS_PER_SECOND * Math.max(0, this.#refused.total - 1)) / rate;
    return first + Math.min(LONGEST_SPREAD_MILLISECONDS, before);
  }

  /** Requests that may reach the target in this window yet, as far as this host knows. */
  #room({ usageElsewhere: others, visibleHostShare: heardShare }: LimitView): number {
    const most = Math.max(1, heardShare * this.perSecond * WINDOW_SECONDS);
    return most - others.used - this.used;
  }

  /**
   * Whether there is room, by chance where far more is asked than there is room for: hosts that have saved up would all
   * send before they hear of each other.
   */
  #isInRoom(sight: LimitView): boolean {
    const room = this.#room(sight);
    const askedUnheard =
      (sight.usageElsewhere.demandPerSecond * UNHEARD_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    return room > 0 && this.#random.next() * askedUnheard < ASKED_PER_ROOM * (room + 1);
  }

  /** What this host's callers want, as far as all others know it. */
  get #claim(): number {
    const [first] = this.#told;
    const isKnown = first !== undefined && first.at <= this.#clock.now() - SPREAD_MILLISECONDS;
    return isKnown
      ? Math.min(this.demandPerSecond, ...this.#told.map(({ perSecond }) => perSecond))
      : 0;
  }

  /**
   * This host's part of what nobody asks for, so that callers who just came are served. So many hosts have one that
   * each has at least a request in a window: all may use it at once.
   */
  #shareUnasked({ hosts, place }: LimitView, perSecond: number): number {
    const holders = Math.max(1, Math.min(hosts, Math.floor(perSecond * WINDOW_SECONDS)));
    return holders === hosts || place() < holders ? 1 / holders : 0;
  }

  #reckon(sight: LimitView): void {
    const now = this.#clock.now();
    const seconds = (now - this.#reckonedAt) / MILLISECONDS_PER_SECOND;
    const rate = this.ratePerSecond(sight);
    // Nothing is kept for callers that have gone: where they come back to all hosts at once, all would send at once.
    const ordinary = Math.max(1, SAVED_SECONDS * rate);
    const isQuiet = this.demandPerSecond === 0;
    const most = isQuiet ? Math.min(ordinary, WINDOW_SECONDS * rate) : ordinary;
    this.#saved = Math.min(most, this.#saved + seconds * rate);
    this.#reckonedAt = now;
  }
}
