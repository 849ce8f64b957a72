import type { Clock } from '@ferrylock/utils';
import { SlidingWindowCounter } from './sliding-window-counter.js';

/** Stretch that a rate is taken over where nothing else is said: some hundred requests of a host at ordinary load. */
const WINDOW_MILLISECONDS = 2_000;
/** Shortest stretch that a rate is taken over. */
const LEAST_MILLISECONDS = 100;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * How many requests came in a second, of late. Requests are counted over the whole stretch, also where
 * they are rare: a rate from the first of them on would come out several times too high at hosts that
 * have less than one a second (3.3 times, 18 hosts with 0.17 a second of each of three services), and these
 * are added up.
 */
export class RequestRate {
  readonly #clock: Clock;
  readonly #count: SlidingWindowCounter;
  /** When the very first request came. */
  #firstAt: number | undefined;

  constructor(
    clock: Clock,
    readonly windowMilliseconds = WINDOW_MILLISECONDS,
  ) {
    this.#clock = clock;
    this.#count = new SlidingWindowCounter(clock, windowMilliseconds);
  }

  record(): void {
    this.#firstAt ??= this.#clock.now();
    this.#count.add();
  }

  get perSecond(): number {
    const since = this.#clock.now() - (this.#firstAt ?? -Infinity);
    const { total } = this.#count;
    const whole = (total * MILLISECONDS_PER_SECOND) / this.windowMilliseconds;
    if (since >= this.windowMilliseconds) {
      return whole;
    }
    // The shorter stretch begins with a request, which therefore tells nothing of the rate.
    const counted = Math.max(LEAST_MILLISECONDS, since);
    return Math.max(whole, ((total - 1) * MILLISECONDS_PER_SECOND) / counted);
  }
}
