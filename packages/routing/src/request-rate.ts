import type { Clock } from '@ferrylock/utils';
import { SlidingCount } from './divided-limits.js';

/** Stretch that a rate is taken over: some hundred requests of a host at ordinary load. */
const WINDOW_MILLISECONDS = 2_000;
/** Shortest stretch that a rate is taken over. */
const LEAST_MILLISECONDS = 100;
const MILLISECONDS_PER_SECOND = 1_000;

/** How many requests came in a second, of late. */
export class RequestRate {
  readonly #clock: Clock;
  readonly #count: SlidingCount;
  /** When the first request came after a stretch without any. */
  #startedAt = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#count = new SlidingCount(clock, WINDOW_MILLISECONDS);
  }

  record(): void {
    if (this.#count.total === 0) {
      this.#startedAt = this.#clock.now();
    }
    this.#count.add();
  }

  get perSecond(): number {
    const since = this.#clock.now() - this.#startedAt;
    const counted = Math.min(WINDOW_MILLISECONDS, Math.max(LEAST_MILLISECONDS, since));
    return (this.#count.total * MILLISECONDS_PER_SECOND) / counted;
  }
}
