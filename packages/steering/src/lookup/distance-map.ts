import type { Declaration } from '@ferrylock/schema';

/** Delays taken where the declaration names none, one way, in milliseconds. */
const DEFAULT_SAME_REGION_MILLISECONDS = 1;
const DEFAULT_OTHER_REGION_MILLISECONDS = 25;

/** A place: a failure domain and the region that it is part of. */
export interface Place {
  readonly failureDomain: string;
  readonly region: string;
}

/** How far places are from one another, by an account's declaration. */
export class DistanceMap {
  readonly #regions = new Map<string, string>();
  readonly #delays = new Map<string, number>();

  constructor(declaration: Pick<Declaration, 'failureDomains' | 'delays'>) {
    for (const [name, domain] of Object.entries(declaration.failureDomains)) {
      this.#regions.set(name, domain.region);
    }
    for (const { from, to, milliseconds } of Object.values(declaration.delays)) {
      this.#delays.set(pairKey(from, to), milliseconds);
      this.#delays.set(pairKey(to, from), milliseconds);
    }
  }

  /** The place of a declared failure domain or, by a stand-in name, of a region as a whole. */
  placeOf(name: string): Place {
    return { failureDomain: name, region: this.#regions.get(name) ?? name };
  }

  /** One-way delay in milliseconds: the narrowest declared one, else a default by nearness. */
  milliseconds(from: Place, to: Place): number {
    if (from.failureDomain === to.failureDomain) {
      return 0;
    }
    const declared =
      this.#delays.get(pairKey(from.failureDomain, to.failureDomain)) ??
      this.#delays.get(pairKey(from.failureDomain, to.region)) ??
      this.#delays.get(pairKey(from.region, to.failureDomain)) ??
      this.#delays.get(pairKey(from.region, to.region));
    if (declared !== undefined) {
      return declared;
    }
    return from.region === to.region
      ? DEFAULT_SAME_REGION_MILLISECONDS
      : DEFAULT_OTHER_REGION_MILLISECONDS;
  }
}

/** Whether a place is, or lies in, the region or failure domain of the given name. */
export function liesIn(place: Place, name: string): boolean {
  return place.failureDomain === name || place.region === name;
}

function pairKey(from: string, to: string): string {
  return `${from} ${to}`;
}
