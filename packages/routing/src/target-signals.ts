import { AdvertisedLimit } from './limits/advertised-limit.js';

/**
 * Longest that a target is left alone at its word, in milliseconds; then it may be asked again, and says so again if it still wants
 * nothing. What asks for longer (a year, a date in seconds) is a mistake at the target, which would lose it until its next start.
 */
const LONGEST_REST_MILLISECONDS = 3_600_000;

/**
 * What a start of a target has said of itself in its answers to this host. No record takes it back that was written before. A later
 * answer that says less takes back its limit alone; that it leaves, and its rest, hold all the same.
 */
export class TargetSignals {
  /** How many requests it takes from all hosts together. */
  readonly limit = new AdvertisedLimit();
  #isLeaving = false;
  #restsUntil = -Infinity;

  /** Whether it said that it leaves. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** When it may be sent requests again, in monotonic milliseconds; in the past where it may now. */
  get restsUntil(): number {
    return this.#restsUntil;
  }

  /** Whether it asked this host for rest that is not over. */
  isResting(now: number): boolean {
    return now < this.#restsUntil;
  }

  /** @returns whether that is news */
  recordLeaving(): boolean {
    const isNews = !this.#isLeaving;
    this.#isLeaving = true;
    return isNews;
  }

  /**
   * It wants no requests of this host. Asked again, the later end holds.
   *
   * @param milliseconds - not negative
   * @returns whether a rest begins
   */
  recordRest(milliseconds: number, now: number): boolean {
    const isNews = milliseconds > 0 && !this.isResting(now);
    const rest = Math.min(milliseconds, LONGEST_REST_MILLISECONDS);
    this.#restsUntil = Math.max(this.#restsUntil, now + rest);
    return isNews;
  }
}
