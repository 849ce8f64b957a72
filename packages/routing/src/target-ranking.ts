import { combineHashes, stableHash } from '@ferrylock/utils';
import type { TargetState } from './target-state.js';

/** Limit on cached keys; the oldest is evicted first. */
const MAX_CACHED_KEYS = 5_000;
/** Cached targets of each region; enough that some are usually available. */
const CACHED_PER_REGION = 12;
/** Minimum cached targets of a region after removals, below which the entry is recomputed. */
const MIN_CACHED_PER_REGION = 6;

/** Targets of each region, in the rank order of one key. */
export type RankedTargets = ReadonlyMap<string, readonly TargetState[]>;

/** Target with its rendezvous weight for one key; the highest weight ranks first. */
interface WeightedTarget {
  readonly target: TargetState;
  readonly weight: number;
}

/** Cached ranking of one key. */
interface CachedRanking {
  readonly keyHash: number;
  readonly ranked: Map<string, WeightedTarget[]>;
  /** Ranked targets without their weights. */
  readonly targets: Map<string, TargetState[]>;
}

/**
 * Ranking of targets for a key in each region by rendezvous hashing. All entry hosts compute the
 * same order, and adding or removing a target moves only the keys that it gains or loses. Cached
 * rankings are updated incrementally: a new target costs one hash per cached key.
 */
export class TargetRanking {
  readonly #regionOf: (target: TargetState) => string;
  readonly #members = new Map<string, TargetState[]>();
  readonly #cache = new Map<string, CachedRanking>();

  constructor(regionOf: (target: TargetState) => string) {
    this.#regionOf = regionOf;
  }

  add(target: TargetState): void {
    const region = this.#regionOf(target);
    const members = this.#members.get(region) ?? [];
    members.push(target);
    this.#members.set(region, members);
    for (const order of this.#cache.values()) {
      const weight = combineHashes(order.keyHash, target.idHash);
      insert(order, region, { target, weight }, members.length);
    }
  }

  remove(target: TargetState): void {
    const region = this.#regionOf(target);
    const remaining = (this.#members.get(region) ?? []).filter((member) => member !== target);
    this.#members.set(region, remaining);
    for (const [key, { ranked, targets }] of this.#cache) {
      const kept = ranked.get(region)?.filter((entry) => entry.target !== target) ?? [];
      if (kept.length < Math.min(MIN_CACHED_PER_REGION, remaining.length)) {
        this.#cache.delete(key);
      } else {
        ranked.set(region, kept);
        targets.set(region, kept.map(targetOf));
      }
    }
  }

  /** Top-ranked targets of each region. */
  ranksOf(key: string): RankedTargets {
    const known = this.#cache.get(key);
    if (known !== undefined) {
      return known.targets;
    }
    if (this.#cache.size >= MAX_CACHED_KEYS) {
      this.#cache.delete(this.#cache.keys().next().value ?? '');
    }
    const keyHash = stableHash(key);
    const ranked = this.#rank(keyHash, CACHED_PER_REGION);
    const targets = withoutWeights(ranked);
    this.#cache.set(key, { keyHash, ranked, targets });
    return targets;
  }

  /** All targets of each region, for when the top-ranked ones are not enough. */
  allRanksOf(key: string): RankedTargets {
    const ranks = this.ranksOf(key);
    const isComplete = [...this.#members].every(
      ([region, members]) => members.length === (ranks.get(region)?.length ?? 0),
    );
    return isComplete ? ranks : withoutWeights(this.#rank(stableHash(key), Infinity));
  }

  #rank(keyHash: number, limit: number): Map<string, WeightedTarget[]> {
    const ranks = new Map<string, WeightedTarget[]>();
    for (const [region, members] of this.#members) {
      const ranked = members.map((target) => ({
        target,
        weight: combineHashes(keyHash, target.idHash),
      }));
      ranks.set(region, ranked.sort(compare).slice(0, limit));
    }
    return ranks;
  }
}

/** Inserts a target at its rank, unless it ranks below the cached targets. */
function insert(
  { ranked, targets }: CachedRanking,
  region: string,
  entry: WeightedTarget,
  memberCount: number,
): void {
  const kept = ranked.get(region) ?? [];
  const rank = kept.findIndex((other) => compare(entry, other) < 0);
  const isComplete = kept.length === memberCount - 1;
  if (rank === -1 && !isComplete) {
    return;
  }
  kept.splice(rank === -1 ? kept.length : rank, 0, entry);
  kept.length = Math.min(kept.length, CACHED_PER_REGION);
  ranked.set(region, kept);
  targets.set(region, kept.map(targetOf));
}

/** Orders by descending weight, then by id. */
function compare(a: WeightedTarget, b: WeightedTarget): number {
  return b.weight - a.weight || (a.target.id < b.target.id ? -1 : 1);
}

function targetOf({ target }: WeightedTarget): TargetState {
  return target;
}

function withoutWeights(ranked: ReadonlyMap<string, WeightedTarget[]>): Map<string, TargetState[]> {
  return new Map([...ranked].map(([region, entries]) => [region, entries.map(targetOf)]));
}
