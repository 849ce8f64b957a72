import type { Clock } from '@ferrylock/utils';

/** Number of requests that the rate is computed from. */
const SAMPLES = 8;
/** Minimum time span that fewer requests are spread over. */
const MIN_SPAN_MILLISECONDS = 4_000;
/** Idle time after which the rate is zero, in average intervals. */
const IDLE_INTERVALS = 4;
const MILLISECONDS_PER_SECOND = 1_000;

/** Requests per second over the last few requests, for low and high rates. */
export class AdaptiveRequestRate {
  readonly #clock: Clock;
  /** Times of the last requests, latest last. */
  readonly #times: number[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  record(): void {
    this.#times.push(this.#clock.now());
    if (this.#times.length > SAMPLES) {
      this.#times.shift();
    }
  }

  get perSecond(): number {
    const now = this.#clock.now();
    const [first] = this.#times;
    const last = this.#times.at(-1);
    if (first === undefined || last === undefined) {
      return 0;
    }
    const interval = Math.max(MIN_SPAN_MILLISECONDS, last - first) / this.#times.length;
    if (now - last > IDLE_INTERVALS * interval) {
      return 0;
    }
    const minSpan = this.#times.length < SAMPLES ? MIN_SPAN_MILLISECONDS : 1;
    return (this.#times.length * MILLISECONDS_PER_SECOND) / Math.max(minSpan, now - first);
  }
}
