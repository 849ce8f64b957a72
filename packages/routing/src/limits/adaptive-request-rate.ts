import type { Clock } from '@ferrylock/utils';

/** Last requests that the rate is taken over: few, so that it follows callers who come or go at once. */
const COUNTED = 8;
/** Fewer requests than that are taken to have come in so long a time at least, in milliseconds. */
const LEAST_MILLISECONDS = 4_000;
/** Time without a request from which there are none, as so many of the times that were between them. */
const QUIET_INTERVALS = 4;
const MILLISECONDS_PER_SECOND = 1_000;

/** How many requests come in a second, by the last few of them; the same for one in ten seconds and for hundreds in one. */
export class AdaptiveRequestRate {
  readonly #clock: Clock;
  /** When the last requests came, the latest last. */
  readonly #times: number[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  record(): void {
    this.#times.push(this.#clock.now());
    if (this.#times.length > COUNTED) {
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
    const between = Math.max(LEAST_MILLISECONDS, last - first) / this.#times.length;
    if (now - last > QUIET_INTERVALS * between) {
      return 0;
    }
    const least = this.#times.length < COUNTED ? LEAST_MILLISECONDS : 1;
    return (this.#times.length * MILLISECONDS_PER_SECOND) / Math.max(least, now - first);
  }
}
