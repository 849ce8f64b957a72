import { pickWeightedService } from './pick-weighted-service.js';
import type { Route } from './route-configuration.js';

/** How far a service's part of the recent requests may lie over its weight's. */
const TOLERANCE = 0.04;
/** Weight of what was counted before, at each request: some hundred requests are remembered. */
const DECAY = 0.99;
/** Requests before which parts say too little to correct them. */
const FEWEST = 10;

/** Recent requests of one split route, by service; older ones count for less. */
class RecentShares {
  readonly #counts = new Map<string, number>();
  #total = 0;

  /** How far the service's part, with one more request, would lie over this one. */
  excess(service: string, share: number): number {
    return ((this.#counts.get(service) ?? 0) + 1) / (this.#total + 1) - share;
  }

  get isTelling(): boolean {
    return this.#total >= FEWEST;
  }

  count(service: string): void {
    for (const [name, count] of this.#counts) {
      this.#counts.set(name, count * DECAY);
    }
    this.#counts.set(service, (this.#counts.get(service) ?? 0) + 1);
    this.#total = this.#total * DECAY + 1;
  }
}

/**
 * Divides the requests of split routes among services. A key stays with one service, where its
 * object is known, unless that service's part of the recent requests would grow past its weight's:
 * with few keys, some of them more asked for than others, keys alone do not make up the weights.
 */
export class TrafficSplitter {
  readonly #recent = new Map<string, RecentShares>();

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

/** The preferred service, or the one furthest under its weight where the preferred has too much. */
function correct({ shares }: Route, preferred: string, recent: RecentShares): string {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  const excesses = shares.map(({ service, weight }) => ({
    service,
    excess: recent.excess(service, weight / total),
  }));
  const own = excesses.find(({ service }) => service === preferred);
  if (!recent.isTelling || own === undefined || own.excess <= TOLERANCE) {
    return preferred;
  }
  return excesses.reduce((least, other) => (other.excess < least.excess ? other : least)).service;
}
