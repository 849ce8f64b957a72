import { AdvertisedLimit } from './limits/advertised-limit.js';

/**
 * Upper bound of a rest: longer requests are presumed mistakes, such as a date in seconds, which
 * would lose the target until it restarts. A target can ask again.
 */
const MAX_REST_MILLISECONDS = 3_600_000;

/**
 * Signals that an incarnation of a target sent in its responses to this host: that it leaves, that
 * it rests (a back-off requested through Retry-After), or a limit. Records do not revoke them. A
 * later response without a signal revokes only the limit.
 */
export class TargetSignals {
  /** Requests per second that it accepts from all hosts together. */
  readonly limit = new AdvertisedLimit();
  #isLeaving = false;
  #restsUntil = -Infinity;

  /** Tells whether it announced that it leaves. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** End of the rest in monotonic milliseconds; in the past if it does not rest. */
  get restsUntil(): number {
    return this.#restsUntil;
  }

  /** Tells whether it asked this host for a rest that is not over. */
  isResting(now: number): boolean {
    return now < this.#restsUntil;
  }

  /** @returns whether this is the first announcement */
  recordLeaving(): boolean {
    const isNews = !this.#isLeaving;
    this.#isLeaving = true;
    return isNews;
  }

  /**
   * Records that it asked this host for a rest. Of several, the latest end applies.
   *
   * @param milliseconds - not negative
   * @returns whether a new rest begins
   */
  recordRest(milliseconds: number, now: number): boolean {
    const isNews = milliseconds > 0 && !this.isResting(now);
    const rest = Math.min(milliseconds, MAX_REST_MILLISECONDS);
    this.#restsUntil = Math.max(this.#restsUntil, now + rest);
    return isNews;
  }
}
