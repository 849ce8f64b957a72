import type { Clock } from '@ferrylock/utils';

/** Buckets that a stretch is counted in, where nothing else is said. */
const BUCKETS = 10;

/** Counts what happened in the last stretch of time, in buckets; the oldest goes as a whole. */
export class SlidingWindowCounter {
  readonly #counts: number[];
  readonly #bucketMilliseconds: number;
  #bucket = 0;
  #total = 0;

  constructor(
    readonly clock: Clock,
    readonly windowMilliseconds: number,
    buckets = BUCKETS,
  ) {
    this.#counts = new Array<number>(buckets).fill(0);
    this.#bucketMilliseconds = windowMilliseconds / buckets;
  }

  /** @param count - below zero for what was counted and did not happen */
  add(count = 1): void {
    this.#advance();
    const index = this.#bucket % this.#counts.length;
    this.#counts[index] = (this.#counts[index] ?? 0) + count;
    this.#total += count;
  }

  get total(): number {
    this.#advance();
    return this.#total;
  }

  #advance(): void {
    const bucket = Math.floor(this.clock.now() / this.#bucketMilliseconds);
    const steps = Math.min(this.#counts.length, bucket - this.#bucket);
    for (let step = 1; step <= steps; step++) {
      const index = (this.#bucket + step) % this.#counts.length;
      this.#total -= this.#counts[index] ?? 0;
      this.#counts[index] = 0;
    }
    this.#bucket = bucket;
  }
}
