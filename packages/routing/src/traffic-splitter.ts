import { pickWeightedService } from './pick-weighted-service.js';
import type { Route } from './route-configuration.js';

/** Allowed excess of the recent share of a service over its weight. */
const TOLERANCE = 0.04;
/** Decay of earlier counts with each request; about a hundred requests are remembered. */
const DECAY = 0.99;
/** Minimum requests before shares are corrected. */
const MIN_REQUESTS = 10;

/** Recent requests of one split route by service, with exponential decay. */
class RecentShares {
  readonly #counts = new Map<string, number>();
  #total = 0;

  /** Excess of the share of the service over the given share, counting one more request. */
  excess(service: string, share: number): number {
    return ((this.#counts.get(service) ?? 0) + 1) / (this.#total + 1) - share;
  }

  get hasEnoughRequests(): boolean {
    return this.#total >= MIN_REQUESTS;
  }

  count(service: string): void {
    for (const [name, count] of this.#counts) {
      this.#counts.set(name, count * DECAY);
    }
    this.#counts.set(service, (this.#counts.get(service) ?? 0) + 1);
    this.#total = this.#total * DECAY + 1;
  }
}

export interface TrafficSplitterOptions {
  readonly hostName: string;
}

/**
 * Splits the requests of a route among services by weight. A key stays with one service, which has
 * its object cached, unless the recent share of that service would exceed its weight: hashing few
 * or unevenly popular keys alone does not match the weights.
 */
export class TrafficSplitter {
  readonly #recent = new Map<string, RecentShares>();

  constructor(readonly options: TrafficSplitterOptions) {}

  pick(route: Route, key: string): string {
    const preferred = pickWeightedService(route, key);
    if (route.shares.length === 1) {
      return preferred;
    }
    const recent = this.#recent.get(route.name) ?? new RecentShares();
    this.#recent.set(route.name, recent);
    const chosen = correct(route, preferred, recent);
    recent.count(chosen);
    return chosen;
  }
}

/** Returns the preferred service, or the one furthest below its weight instead. */
function correct({ shares }: Route, preferred: string, recent: RecentShares): string {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  const excesses = shares.map(({ service, weight }) => ({
    service,
    excess: recent.excess(service, weight / total),
  }));
  const own = excesses.find(({ service }) => service === preferred);
  if (!recent.hasEnoughRequests || own === undefined || own.excess <= TOLERANCE) {
    return preferred;
  }
  return excesses.reduce((least, other) => (other.excess < least.excess ? other : least)).service;
}
