/** Weight of a sample above the current estimate. */
const INCREASE_WEIGHT = 0.05;

/**
 * Round-trip time to each failure domain, estimated from connection setup times. Longer samples are
 * mostly caused by busy hosts and have little weight; a shorter one replaces the estimate.
 */
export class RoundTripTimes {
  readonly #byDomain = new Map<string, number>();

  record(failureDomain: string, milliseconds: number): void {
    const known = this.#byDomain.get(failureDomain) ?? Infinity;
    const next =
      milliseconds < known ? milliseconds : known + INCREASE_WEIGHT * (milliseconds - known);
    this.#byDomain.set(failureDomain, next);
  }

  /** Round-trip time in milliseconds; 0 before the first connection. */
  of(failureDomain: string): number {
    return this.#byDomain.get(failureDomain) ?? 0;
  }
}
