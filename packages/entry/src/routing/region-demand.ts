import type { HostStatus, RequestRates } from '../peers/host-status.js';

/** What callers of each region ask of each service, in requests a second. */
export class RegionDemand {
  readonly #rates = new Map<string, Map<string, number>>();

  /** Adds what the callers of one host ask for. */
  add(region: string, asked: RequestRates): void {
    const ofRegion = this.#rates.get(region) ?? new Map<string, number>();
    this.#rates.set(region, ofRegion);
    for (const [service, rate] of Object.entries(asked)) {
      ofRegion.set(service, (ofRegion.get(service) ?? 0) + rate);
    }
  }

  /** Undefined where no host of the region is heard. */
  of(service: string, region: string): number | undefined {
    const ofRegion = this.#rates.get(region);
    return ofRegion === undefined ? undefined : (ofRegion.get(service) ?? 0);
  }
}

/** Adds up what hosts say of themselves, by the region that each is registered in. */
export function demandByRegion(
  statuses: Iterable<Pick<HostStatus, 'name' | 'asked'>>,
  regionOf: ReadonlyMap<string, string>,
): RegionDemand {
  const demand = new RegionDemand();
  for (const { name, asked } of statuses) {
    const region = regionOf.get(name);
    if (region !== undefined) {
      demand.add(region, asked);
    }
  }
  return demand;
}
