import type { Clock } from '@ferrylock/utils';

/** Default number of buckets in a window. */
const DEFAULT_BUCKETS = 10;

/** Event counter over a sliding window, divided into buckets that expire as a whole. */
export class SlidingWindowCounter {
  readonly #counts: number[];
  readonly #bucketMilliseconds: number;
  #bucket = 0;
  #total = 0;

  constructor(
    readonly clock: Clock,
    readonly windowMilliseconds: number,
    buckets = DEFAULT_BUCKETS,
  ) {
    this.#counts = new Array<number>(buckets).fill(0);
    this.#bucketMilliseconds = windowMilliseconds / buckets;
  }

  /** @param count - negative to undo a previous count */
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
