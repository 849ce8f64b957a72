import type { Clock } from '@ferrylock/utils';
import { SlidingCount } from './divided-limits.js';

/** Part of the bound that is for keys that change their region. */
const STEP_PART = 0.4;
/** Part of it that is for requests that leave their key's region because of a wait. */
const OVERFLOW_PART = 0.4;
const MILLISECONDS_PER_SECOND = 1_000;

/** How many of a region's requests may change the region in which they run. */
export interface ShiftBound {
  /** From 0 to 1, from one window to the next. */
  readonly share: number;
  readonly windowMilliseconds: number;
}

/** How far the part of a region's keys that stay at home may move in a second. */
export function mostStepPerSecond({ share, windowMilliseconds }: ShiftBound): number {
  return (STEP_PART * share * MILLISECONDS_PER_SECOND) / windowMilliseconds;
}

/**
 * This host's part of what may leave the region that placement gives it because of a wait: a share
 * of its own requests, so that the parts of a region's hosts add up to the share without a message.
 */
export class OverflowAllowance {
  readonly #requests: SlidingCount;
  readonly #overflows: SlidingCount;
  readonly #share: number;

  constructor(clock: Clock, bound: ShiftBound) {
    this.#requests = new SlidingCount(clock, bound.windowMilliseconds);
    this.#overflows = new SlidingCount(clock, bound.windowMilliseconds);
    this.#share = OVERFLOW_PART * bound.share;
  }

  recordRequest(): void {
    this.#requests.add();
  }

  recordOverflow(): void {
    this.#overflows.add();
  }

  get hasRoom(): boolean {
    return this.#overflows.total + 1 <= this.#share * this.#requests.total;
  }
}
