/**
 * Least that a limit counts as, in requests a second. Only an answer can take a limit back, so that one that says that it takes
 * nothing is asked every ten seconds whether that still holds.
 */
const LEAST_PER_SECOND = 0.1;
/** A limit above this, in requests a second, is as good as this one, and can be reckoned with. */
const MOST_PER_SECOND = 1e9;
/**
 * Words of the same start that were heard at two hosts within this time count as heard at once, in milliseconds: what a
 * word's age is told without, the way between hosts.
 */
const AT_ONCE_MILLISECONDS = 200;

/** A limit as one host heard it. */
export interface ReceivedLimit {
  /** Requests a second that the target takes from all hosts together; undefined where it named none. */
  readonly perSecond: number | undefined;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
}

/**
 * The requests a second that a start of a target takes from all hosts together, by its answers. It holds until an answer to a
 * later request names another one, or none.
 */
export class AdvertisedLimit implements ReceivedLimit {
  #perSecond: number | undefined;
  #receivedAt = -Infinity;

  get perSecond(): number | undefined {
    return this.#perSecond;
  }

  get receivedAt(): number {
    return this.#receivedAt;
  }

  /**
   * An answer begins. Answers overtake one another: one to a request that was sent before the last word was heard may be older
   * than that, and only makes it stricter.
   *
   * @param perSecond - undefined where the answer names no limit
   * @returns whether that is news
   */
  record(perSecond: number | undefined, { sentAt, now }: { sentAt: number; now: number }): boolean {
    if (perSecond === undefined && this.#perSecond === undefined) {
      return false;
    }
    const named = inRange(perSecond);
    return this.#take(sentAt < this.#receivedAt ? stricter(named, this.#perSecond) : named, now);
  }

  /**
   * Another host told what it heard. The newer word holds, and of words that were heard at once the stricter.
   *
   * @returns whether that is news
   */
  merge({ perSecond, receivedAt: heardAt }: ReceivedLimit): boolean {
    if (heardAt < this.#receivedAt - AT_ONCE_MILLISECONDS) {
      return false;
    }
    const isNewer = heardAt > this.#receivedAt + AT_ONCE_MILLISECONDS;
    const named = inRange(perSecond);
    const held = isNewer ? named : stricter(named, this.#perSecond);
    return this.#take(held, Math.max(heardAt, this.#receivedAt));
  }

  #take(perSecond: number | undefined, heardAt: number): boolean {
    const isNews = perSecond !== this.#perSecond;
    this.#perSecond = perSecond;
    this.#receivedAt = heardAt;
    return isNews;
  }
}

function inRange(perSecond: number | undefined): number | undefined {
  return perSecond === undefined
    ? undefined
    : Math.min(MOST_PER_SECOND, Math.max(LEAST_PER_SECOND, perSecond));
}

function stricter(one: number | undefined, other: number | undefined): number | undefined {
  return one === undefined || other === undefined ? (one ?? other) : Math.min(one, other);
}
