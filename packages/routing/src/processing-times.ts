import { MovingAverage } from '@ferrylock/utils';

/** Weight of one response in the moving average of cache hits. */
const HIT_WEIGHT = 0.02;
/** Weight of one response in the moving average of cache misses, which are rarer. */
const MISS_WEIGHT = 0.1;
/** Ratio to the average hit from which a response counts as a cache miss. */
const MISS_FACTOR = 1.6;

/**
 * Average processing times of the targets of a service for one route, for cache hits and misses.
 * Targets do not report which a request was; it is inferred from the time and from whether the same
 * target processed the object before.
 */
export class ProcessingTimes {
  readonly #hits = new MovingAverage(HIT_WEIGHT);
  readonly #misses = new MovingAverage(MISS_WEIGHT);

  /** Processing time of cache hits; undefined before the first response. */
  get hitMilliseconds(): number | undefined {
    return this.#hits.value ?? this.#misses.value;
  }

  /** Additional processing time of cache misses; undefined until both kinds were seen. */
  get missPenaltyMilliseconds(): number | undefined {
    const hit = this.#hits.value;
    const miss = this.#misses.value;
    return hit === undefined || miss === undefined ? undefined : Math.max(0, miss - hit);
  }

  /** @param wasCached - whether the target was expected to have the object cached */
  record(milliseconds: number, wasCached: boolean): void {
    const hit = this.#hits.value;
    const isFast = hit !== undefined && milliseconds < MISS_FACTOR * hit;
    (isFast || wasCached ? this.#hits : this.#misses).add(milliseconds);
  }
}
