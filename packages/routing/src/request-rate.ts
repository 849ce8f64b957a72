import type { Clock } from '@ferrylock/utils';
import { SlidingWindowCounter } from './sliding-window-counter.js';

/** Default window. */
const DEFAULT_WINDOW_MILLISECONDS = 2_000;
/** Minimum window. */
const MIN_WINDOW_MILLISECONDS = 100;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Recent requests per second over a fixed window. The whole window counts even if requests are
 * rare: measuring from the first request in the window would overestimate low rates, which are
 * summed over hosts.
 */
export class RequestRate {
  readonly #clock: Clock;
  readonly #count: SlidingWindowCounter;
  /** Time of the first request. */
  #firstAt: number | undefined;

  constructor(
    clock: Clock,
    readonly windowMilliseconds = DEFAULT_WINDOW_MILLISECONDS,
  ) {
    this.#clock = clock;
    this.#count = new SlidingWindowCounter(clock, windowMilliseconds);
  }

  record(): void {
    this.#firstAt ??= this.#clock.now();
    this.#count.add();
  }

  get perSecond(): number {
    const elapsed = this.#clock.now() - (this.#firstAt ?? -Infinity);
    const { total } = this.#count;
    const overWindow = (total * MILLISECONDS_PER_SECOND) / this.windowMilliseconds;
    if (elapsed >= this.windowMilliseconds) {
      return overWindow;
    }
    // The window so far starts with a request, which therefore carries no rate information.
    const window = Math.max(MIN_WINDOW_MILLISECONDS, elapsed);
    return Math.max(overWindow, ((total - 1) * MILLISECONDS_PER_SECOND) / window);
  }
}
