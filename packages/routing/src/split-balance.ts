import type { ServiceShare } from './route-configuration.js';

/** Requests that a service may get beyond its weight while the host has seen few. */
const MIN_EXCESS_REQUESTS = 1.5;
/** The same as a fraction of the requests, once this allows more. */
const EXCESS_SHARE = 0.04;
/** Decay of earlier counts with each request; about a hundred requests are remembered. */
const DECAY = 0.99;

/** Keeps the requests of one host to the weights of a split, from the first request on. */
export class SplitBalance {
  readonly #shares: readonly ServiceShare[];
  readonly #totalWeight: number;
  readonly #counts = new Map<string, number>();
  #total = 0;

  constructor(shares: readonly ServiceShare[]) {
    this.#shares = shares;
    this.#totalWeight = shares.reduce((sum, { weight }) => sum + weight, 0);
  }

  /** Returns the preferred service, or the one furthest below its weight if that gets too much. */
  choose(preferred: string): string {
    const excesses = this.#shares.map((share) => ({
      service: share.service,
      excess: this.#excess(share),
    }));
    const own = excesses.find(({ service }) => service === preferred);
    if (own === undefined || own.excess <= this.#allowedExcess) {
      return preferred;
    }
    return excesses.reduce((least, other) => (other.excess < least.excess ? other : least)).service;
  }

  /** Records a request that was sent to a service. */
  record(service: string): void {
    for (const [name, count] of this.#counts) {
      this.#counts.set(name, count * DECAY);
    }
    this.#counts.set(service, (this.#counts.get(service) ?? 0) + 1);
    this.#total = this.#total * DECAY + 1;
  }

  get #allowedExcess(): number {
    return Math.max(MIN_EXCESS_REQUESTS, EXCESS_SHARE * (this.#total + 1));
  }

  /** Requests that a service would have beyond its weight with one more. */
  #excess({ service, weight }: ServiceShare): number {
    const wanted = (weight / this.#totalWeight) * (this.#total + 1);
    return (this.#counts.get(service) ?? 0) + 1 - wanted;
  }
}
