import type { HostStatus, RequestRates } from '../peers/host-status.js';

/** Demand in requests per second, by service and region of the callers. */
export class RegionDemand {
  readonly #rates = new Map<string, Map<string, number>>();

  /** Adds the demand of one host's callers. */
  add(region: string, rates: RequestRates): void {
    const ofRegion = this.#rates.get(region) ?? new Map<string, number>();
    this.#rates.set(region, ofRegion);
    for (const [service, rate] of Object.entries(rates)) {
      ofRegion.set(service, (ofRegion.get(service) ?? 0) + rate);
    }
  }

  /** Demand for a service in all regions. */
  total(service: string): number {
    const rates = [...this.#rates.values()].map((ofRegion) => ofRegion.get(service) ?? 0);
    return rates.reduce((sum, rate) => sum + rate, 0);
  }

  /** Demand for a service in a region; undefined if no host of the region has reported. */
  of(service: string, region: string): number | undefined {
    const ofRegion = this.#rates.get(region);
    return ofRegion === undefined ? undefined : (ofRegion.get(service) ?? 0);
  }
}

/** Sums the demand reported by hosts over the region in which each is registered. */
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
