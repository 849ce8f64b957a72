import type { Clock } from '@ferrylock/utils';

/** Part of each shared limit that is left unused, for clocks that differ and messages under way. */
const MARGIN = 0.8;
/** Buckets that a window is counted in. */
const BUCKETS = 10;

/** Counts what happened in the last stretch of time, in buckets. */
export class SlidingCount {
  readonly #counts = new Array<number>(BUCKETS).fill(0);
  #bucket = 0;

  constructor(
    readonly clock: Clock,
    readonly windowMilliseconds: number,
  ) {}

  add(count = 1): void {
    this.#advance();
    const index = this.#bucket % BUCKETS;
    this.#counts[index] = (this.#counts[index] ?? 0) + count;
  }

  get total(): number {
    this.#advance();
    return this.#counts.reduce((sum, count) => sum + count, 0);
  }

  #advance(): void {
    const bucket = Math.floor(this.clock.now() / (this.windowMilliseconds / BUCKETS));
    const steps = Math.min(BUCKETS, bucket - this.#bucket);
    for (let step = 1; step <= steps; step++) {
      this.#counts[(this.#bucket + step) % BUCKETS] = 0;
    }
    this.#bucket = bucket;
  }
}

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
