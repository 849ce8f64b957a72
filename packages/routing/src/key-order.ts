import { rendezvousRank } from '@ferrylock/utils';
import type { TargetState } from './target-state.js';

/** Keys whose order is kept; the first made go first. */
const MOST_CACHED_KEYS = 5_000;
/** Targets of a region that are kept: so many that some are usable on all but the worst days. */
const KEPT_OF_REGION = 12;

/** Targets of each region in a key's order. */
export type KeyRanks = ReadonlyMap<string, readonly TargetState[]>;

/**
 * The order of targets for a key, region by region, the same at every entry host. A target's coming
 * or going moves only the keys that it gains or loses.
 */
export class KeyOrder {
  readonly #regionOf: (target: TargetState) => string;
  readonly #cached = new Map<string, KeyRanks>();
  #members: readonly TargetState[] = [];
  #mostOfRegion = 0;

  constructor(regionOf: (target: TargetState) => string) {
    this.#regionOf = regionOf;
  }

  /** Targets came or went. */
  setMembers(members: readonly TargetState[]): void {
    this.#members = members;
    this.#cached.clear();
    const counts = new Map<string, number>();
    for (const target of members) {
      const region = this.#regionOf(target);
      counts.set(region, (counts.get(region) ?? 0) + 1);
    }
    this.#mostOfRegion = Math.max(0, ...counts.values());
  }

  /** The first targets of each region. */
  ranksOf(key: string): KeyRanks {
    const known = this.#cached.get(key);
    if (known !== undefined) {
      return known;
    }
    if (this.#cached.size >= MOST_CACHED_KEYS) {
      this.#cached.delete(this.#cached.keys().next().value ?? '');
    }
    const ranks = this.#rank(key, KEPT_OF_REGION);
    this.#cached.set(key, ranks);
    return ranks;
  }

  /** All targets of each region, for when the first ones do not suffice. */
  allRanksOf(key: string): KeyRanks {
    return this.#mostOfRegion <= KEPT_OF_REGION ? this.ranksOf(key) : this.#rank(key, Infinity);
  }

  #rank(key: string, most: number): KeyRanks {
    const ranks = new Map<string, TargetState[]>();
    for (const target of rendezvousRank(key, this.#members, ({ id }) => id)) {
      const region = this.#regionOf(target);
      const ofRegion = ranks.get(region) ?? [];
      if (ofRegion.length < most) {
        ofRegion.push(target);
      }
      ranks.set(region, ofRegion);
    }
    return ranks;
  }
}
