import { rendezvousRank } from '@ferrylock/utils';
import type { TargetState } from './target-state.js';

/** Ranks that are kept for keys seen; least recently made ones go first. */
const MOST_CACHED_RANKS = 5_000;
/** Targets that a key may go to while all of them have room; each comes to hold its object. */
const PREFERRED_TARGETS = 2;

/** What a choice of target depends on, besides the targets. */
export interface TargetDemand {
  /** Names the object that the request is about; the same name prefers the same targets. */
  readonly key: string;
  /** Regions whose targets may serve it; empty where any may. */
  readonly homeRegions: readonly string[];
  /** Targets that were tried for this request already. */
  readonly tried: ReadonlySet<string>;
  /** Most requests, running and waiting, that a target may have for each of its slots. */
  readonly mostLoadPerSlot: number;
}

export interface TargetChoiceOptions {
  /** Region of each failure domain. */
  readonly regionOf: (failureDomain: string) => string;
  /** Region of this entry host. */
  readonly ownRegion: string;
  /** Whether a failure domain is being emptied. */
  readonly isEvacuated: (failureDomain: string) => boolean;
}

/**
 * Chooses targets by affinity with bounded load. Every entry host ranks a key's targets the same
 * way; the first few that have room take its requests, the nearer ones first, so that an object is
 * known at the few places that serve it and at least one of them survives any single loss.
 */
export class TargetChoice {
  readonly #options: TargetChoiceOptions;
  readonly #targets: ReadonlyMap<string, TargetState>;
  readonly #ranks = new Map<string, TargetState[]>();
  #members: TargetState[] = [];

  constructor(targets: ReadonlyMap<string, TargetState>, options: TargetChoiceOptions) {
    this.#targets = targets;
    this.#options = options;
    this.membersChanged();
  }

  /** Targets came or went: ranks are made anew. */
  membersChanged(): void {
    this.#members = [...this.#targets.values()];
    this.#ranks.clear();
  }

  /**
   * The target to send a request to now, or undefined where none may take it.
   *
   * @param mayUseCold - asked for a cold target that would be the choice
   */
  choose(
    demand: TargetDemand,
    now: number,
    mayUseCold: (target: TargetState) => boolean,
  ): TargetState | undefined {
    const usable = this.#rankOf(demand.key).filter((target) => this.#isUsable(target, demand));
    const warm = usable.filter((target) => !target.isCold(now));
    const sound = warm.filter((target) => !target.isEjected(now));
    return (
      this.#preferred(sound, now) ??
      usable.find((target) => target.isCold(now) && !target.isEjected(now) && mayUseCold(target)) ??
      leastLoaded(sound, demand, now) ??
      (sound.length === 0 ? leastLoaded(warm, demand, now) : undefined)
    );
  }

  /** The nearest of the key's first targets that have room; spilled ones after them, in order. */
  #preferred(ranked: readonly TargetState[], now: number): TargetState | undefined {
    const first = ranked.slice(0, PREFERRED_TARGETS).filter((target) => hasRoom(target, now));
    const near = first.find((target) => this.#regionOf(target) === this.#options.ownRegion);
    return near ?? first[0] ?? ranked.find((target) => hasRoom(target, now));
  }

  #isUsable(target: TargetState, { tried, homeRegions }: TargetDemand): boolean {
    return (
      !target.leaving &&
      !tried.has(target.id) &&
      !this.#options.isEvacuated(target.record.failureDomain) &&
      (homeRegions.length === 0 || homeRegions.includes(this.#regionOf(target)))
    );
  }

  #regionOf(target: TargetState): string {
    return this.#options.regionOf(target.record.failureDomain);
  }

  #rankOf(key: string): TargetState[] {
    const known = this.#ranks.get(key);
    if (known !== undefined) {
      return known;
    }
    if (this.#ranks.size >= MOST_CACHED_RANKS) {
      this.#ranks.delete(this.#ranks.keys().next().value ?? '');
    }
    const ranked = rendezvousRank(key, this.#members, ({ id }) => id);
    this.#ranks.set(key, ranked);
    return ranked;
  }
}

/** Whether a request sent now would start to run at once. */
function hasRoom(target: TargetState, now: number): boolean {
  return target.load(now) < target.record.slots;
}

/** The target with the fewest requests for each slot, if they are fewer than is allowed. */
function leastLoaded(
  targets: readonly TargetState[],
  { mostLoadPerSlot }: TargetDemand,
  now: number,
): TargetState | undefined {
  let best: TargetState | undefined;
  for (const target of targets) {
    if (fill(target, now) >= mostLoadPerSlot) {
      continue;
    }
    if (best === undefined || fill(target, now) < fill(best, now)) {
      best = target;
    }
  }
  return best;
}

/** Requests for each slot. */
function fill(target: TargetState, now: number): number {
  return target.load(now) / target.record.slots;
}
