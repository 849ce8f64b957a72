import type { Clock } from '@ferrylock/utils';
import type { SharedBucket } from './shared-bucket.js';

const LONGEST_WAIT_MILLISECONDS = 100;
const SHORTEST_WAIT_MILLISECONDS = 1;

/** Holds a stream back so that its bytes stay under the caps of the links that it passes. */
export class BytePacer {
  constructor(
    readonly buckets: readonly SharedBucket[],
    readonly clock: Clock,
  ) {}

  /** Resolves when the bytes may pass, and counts them; at once when the signal aborts. */
  async pass(bytes: number, signal: AbortSignal): Promise<void> {
    for (const bucket of this.buckets) {
      bucket.recordDemand(bytes);
    }
    while (!signal.aborted && !this.buckets.every((bucket) => bucket.has(bytes))) {
      const wait = Math.max(...this.buckets.map((bucket) => bucket.waitMilliseconds(bytes)));
      const bounded = Math.min(LONGEST_WAIT_MILLISECONDS, Math.ceil(wait));
      await this.clock.sleep(Math.max(SHORTEST_WAIT_MILLISECONDS, bounded), signal);
    }
    for (const bucket of this.buckets) {
      bucket.take(bytes);
    }
  }
}
