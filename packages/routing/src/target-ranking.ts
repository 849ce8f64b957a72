import { combineHashes, stableHash } from '@ferrylock/utils';
import type { TargetState } from './target-state.js';

/** Keys whose order is kept; the first made go first. */
const MOST_CACHED_KEYS = 5_000;
/** Targets of a region that are kept: so many that some are usable on all but the worst days. */
const KEPT_OF_REGION = 12;
/** Targets that are left of those kept, after others went, before the order is made anew. */
const FEWEST_KEPT = 6;

/** Targets of each region in a key's order. */
export type RankedTargets = ReadonlyMap<string, readonly TargetState[]>;

/** A target with its weight for one key; the heaviest comes first. */
interface Ranked {
  readonly target: TargetState;
  readonly weight: number;
}

/** What is kept of one key's order. */
interface KeptOrder {
  readonly keyHash: number;
  readonly ranked: Map<string, Ranked[]>;
  /** The same, without weights. */
  readonly targets: Map<string, TargetState[]>;
}

/**
 * The order of targets for a key, region by region, the same at every entry host: rendezvous
 * hashing, so that a target's coming or going moves only the keys that it gains or loses. What is
 * kept follows a coming target at one hash a key, and not at one for each key and target.
 */
export class TargetRanking {
  readonly #regionOf: (target: TargetState) => string;
  readonly #members = new Map<string, TargetState[]>();
  readonly #kept = new Map<string, KeptOrder>();

  constructor(regionOf: (target: TargetState) => string) {
    this.#regionOf = regionOf;
  }

  add(target: TargetState): void {
    const region = this.#regionOf(target);
    const members = this.#members.get(region) ?? [];
    members.push(target);
    this.#members.set(region, members);
    for (const order of this.#kept.values()) {
      const weight = combineHashes(order.keyHash, target.idHash);
      insert(order, region, { target, weight }, members.length);
    }
  }

  remove(target: TargetState): void {
    const region = this.#regionOf(target);
    const left = (this.#members.get(region) ?? []).filter((member) => member !== target);
    this.#members.set(region, left);
    for (const [key, { ranked, targets }] of this.#kept) {
      const kept = ranked.get(region)?.filter((entry) => entry.target !== target) ?? [];
      if (kept.length < Math.min(FEWEST_KEPT, left.length)) {
        this.#kept.delete(key);
      } else {
        ranked.set(region, kept);
        targets.set(region, kept.map(targetOf));
      }
    }
  }

  /** The first targets of each region. */
  ranksOf(key: string): RankedTargets {
    const known = this.#kept.get(key);
    if (known !== undefined) {
      return known.targets;
    }
    if (this.#kept.size >= MOST_CACHED_KEYS) {
      this.#kept.delete(this.#kept.keys().next().value ?? '');
    }
    const keyHash = stableHash(key);
    const ranked = this.#rank(keyHash, KEPT_OF_REGION);
    const targets = withoutWeights(ranked);
    this.#kept.set(key, { keyHash, ranked, targets });
    return targets;
  }

  /** All targets of each region, for when the first ones do not suffice. */
  allRanksOf(key: string): RankedTargets {
    const ranks = this.ranksOf(key);
    const isWhole = [...this.#members].every(
      ([region, members]) => members.length === (ranks.get(region)?.length ?? 0),
    );
    return isWhole ? ranks : withoutWeights(this.#rank(stableHash(key), Infinity));
  }

  #rank(keyHash: number, most: number): Map<string, Ranked[]> {
    const ranks = new Map<string, Ranked[]>();
    for (const [region, members] of this.#members) {
      const ranked = members.map((target) => ({
        target,
        weight: combineHashes(keyHash, target.idHash),
      }));
      ranks.set(region, ranked.sort(compare).slice(0, most));
    }
    return ranks;
  }
}

/** Puts a target in its place among those kept, unless its place is after them. */
function insert(
  { ranked, targets }: KeptOrder,
  region: string,
  entry: Ranked,
  memberCount: number,
): void {
  const kept = ranked.get(region) ?? [];
  const place = kept.findIndex((other) => compare(entry, other) < 0);
  const isWhole = kept.length === memberCount - 1;
  if (place === -1 && !isWhole) {
    return;
  }
  kept.splice(place === -1 ? kept.length : place, 0, entry);
  kept.length = Math.min(kept.length, KEPT_OF_REGION);
  ranked.set(region, kept);
  targets.set(region, kept.map(targetOf));
}

/** Heaviest first; of equals, the one whose name comes first. */
function compare(a: Ranked, b: Ranked): number {
  return b.weight - a.weight || (a.target.id < b.target.id ? -1 : 1);
}

function targetOf({ target }: Ranked): TargetState {
  return target;
}

function withoutWeights(ranked: ReadonlyMap<string, Ranked[]>): Map<string, TargetState[]> {
  return new Map([...ranked].map(([region, entries]) => [region, entries.map(targetOf)]));
}
