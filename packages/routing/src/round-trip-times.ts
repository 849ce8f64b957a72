/** Weight of a connection that took longer than the way was thought to be. */
const SLOWER_WEIGHT = 0.05;

/**
 * The way to each failure domain and back, from how long connections take to come up. A longer time
 * is mostly a busy host's, so that it counts for little; a shorter one is taken at once.
 */
export class RoundTripTimes {
  readonly #byDomain = new Map<string, number>();

  record(failureDomain: string, milliseconds: number): void {
    const known = this.#byDomain.get(failureDomain) ?? Infinity;
    const next =
      milliseconds < known ? milliseconds : known + SLOWER_WEIGHT * (milliseconds - known);
    this.#byDomain.set(failureDomain, next);
  }

  /** In milliseconds; 0 before the first connection. */
  of(failureDomain: string): number {
    return this.#byDomain.get(failureDomain) ?? 0;
  }
}
