/**
 * Lower bound of a limit, in requests per second: only a response can revoke a limit, so a target
 * that accepts nothing still gets a request every ten seconds.
 */
const MIN_PER_SECOND = 0.1;
/** Upper bound of a limit, in requests per second. */
const MAX_PER_SECOND = 1e9;
/**
 * Time within which limits that two hosts received from the same incarnation count as simultaneous;
 * covers the transmission delay between hosts, which reported ages do not include.
 */
const SIMULTANEOUS_MILLISECONDS = 200;

/** Limit of a target as received by one host. */
export interface ReceivedLimit {
  /** Requests per second accepted from all hosts together; undefined without a limit. */
  readonly perSecond: number | undefined;
  /** Time of receipt in monotonic milliseconds. */
  readonly receivedAt: number;
}

/**
 * Requests per second that an incarnation of a target accepts from all hosts together, as
 * advertised in its responses. Applies until the response to a later request advertises another
 * limit, or none.
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
   * Records the limit in a response. Responses may arrive out of order: one to a request sent
   * before the current limit was received may be older, and can only lower the limit.
   *
   * @param perSecond - undefined if the response advertises no limit
   * @returns whether the limit changed
   */
  record(perSecond: number | undefined, { sentAt, now }: { sentAt: number; now: number }): boolean {
    if (perSecond === undefined && this.#perSecond === undefined) {
      return false;
    }
    const limit = clamp(perSecond);
    return this.#set(sentAt < this.#receivedAt ? stricter(limit, this.#perSecond) : limit, now);
  }

  /**
   * Merges a limit that another host received: the newer, or the stricter of simultaneous ones.
   *
   * @returns whether the limit changed
   */
  merge({ perSecond, receivedAt }: ReceivedLimit): boolean {
    if (receivedAt < this.#receivedAt - SIMULTANEOUS_MILLISECONDS) {
      return false;
    }
    const isNewer = receivedAt > this.#receivedAt + SIMULTANEOUS_MILLISECONDS;
    const limit = clamp(perSecond);
    const merged = isNewer ? limit : stricter(limit, this.#perSecond);
    return this.#set(merged, Math.max(receivedAt, this.#receivedAt));
  }

  #set(perSecond: number | undefined, receivedAt: number): boolean {
    const hasChanged = perSecond !== this.#perSecond;
    this.#perSecond = perSecond;
    this.#receivedAt = receivedAt;
    return hasChanged;
  }
}

function clamp(perSecond: number | undefined): number | undefined {
  return perSecond === undefined
    ? undefined
    : Math.min(MAX_PER_SECOND, Math.max(MIN_PER_SECOND, perSecond));
}

function stricter(a: number | undefined, b: number | undefined): number | undefined {
  return a === undefined || b === undefined ? (a ?? b) : Math.min(a, b);
}
