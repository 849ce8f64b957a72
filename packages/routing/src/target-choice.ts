import { rendezvousRank } from '@ferrylock/utils';
import type { TargetState } from './target-state.js';

/** Ranks that are kept for keys seen; the first made go first. */
const MOST_CACHED_RANKS = 5_000;
/** Targets of a kept rank: so many that some of them are usable on all but the worst days. */
const KEPT_OF_RANK = 24;
/** Targets that are to know a key's object, so that one of them outlives the loss of any other. */
const COPIES = 2;
/**
 * Targets that a key's requests go to at all. A target holds only so many objects: keys that go
 * everywhere push one another out, and most work is then on unknown objects.
 */
const MOST_COPIES = 4;
/** Requests for each slot from which a key's first target is passed over: none of them is free. */
const FULL_LOAD_PER_SLOT = 1;
/**
 * Requests for each slot up to which a target takes keys that are not its own. A target works
 * longer on an object that it does not know: where all are busy, that would make them busier still.
 */
const SPILL_LOAD_PER_SLOT = 0.5;

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
  /** Whether its bytes make the way between regions dear: targets of the own region come first. */
  readonly staysNear: boolean;
  /** Whether to prefer the key's second target, so that it comes to know the object. */
  readonly prefersSecond: boolean;
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
 * way, so that an object is known at the few that serve it; the nearer of these comes first while
 * it has room. Others are used only while they have little to do.
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
   * @param mayUseCold - asked before a target that has just started, and is slow, is chosen
   */
  choose(
    demand: TargetDemand,
    now: number,
    mayUseCold: (target: TargetState) => boolean,
  ): TargetState | undefined {
    const usable = this.#usable(demand);
    const warm = usable.filter((target) => !target.isCold(now));
    const ranked = warm.filter((target) => !target.isEjected(now));
    const sound = demand.staysNear ? this.#nearFirst(ranked) : ranked;
    const copies = this.#inOrder(sound.slice(0, COPIES), demand);
    const others = sound.slice(COPIES, MOST_COPIES);
    const familiar = others.filter((target) => target.isFamiliar(demand.key, now));
    const isBelow = (bound: number) => (target: TargetState) => loadPerSlot(target, now) < bound;
    return (
      copies.find(isBelow(FULL_LOAD_PER_SLOT)) ??
      familiar.find(isBelow(FULL_LOAD_PER_SLOT)) ??
      others.find(isBelow(SPILL_LOAD_PER_SLOT)) ??
      leastLoaded([...copies, ...familiar], demand, now) ??
      usable.find((target) => target.isCold(now) && !target.isEjected(now) && mayUseCold(target)) ??
      (sound.length === 0 ? leastLoaded(warm, demand, now) : undefined)
    );
  }

  /** The nearer copies first, or the farther ones where these are to be kept in use. */
  #inOrder(copies: readonly TargetState[], { prefersSecond }: TargetDemand): TargetState[] {
    const ordered = this.#nearFirst(copies);
    return prefersSecond ? ordered.reverse() : ordered;
  }

  #nearFirst(targets: readonly TargetState[]): TargetState[] {
    const isNear = (target: TargetState): boolean =>
      this.#regionOf(target) === this.#options.ownRegion;
    return [...targets.filter(isNear), ...targets.filter((target) => !isNear(target))];
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

  /** The usable targets in the key's order; only the first of them where there are many. */
  #usable(demand: TargetDemand): TargetState[] {
    const isUsable = (target: TargetState): boolean => this.#isUsable(target, demand);
    const first = this.#firstOf(demand.key);
    const usable = first.filter(isUsable);
    const suffices = usable.length >= KEPT_OF_RANK / 2 || first.length === this.#members.length;
    return suffices ? usable : this.#rankOf(demand.key).filter(isUsable);
  }

  #rankOf(key: string): TargetState[] {
    return rendezvousRank(key, this.#members, ({ id }) => id);
  }

  #firstOf(key: string): TargetState[] {
    const known = this.#ranks.get(key);
    if (known !== undefined) {
      return known;
    }
    if (this.#ranks.size >= MOST_CACHED_RANKS) {
      this.#ranks.delete(this.#ranks.keys().next().value ?? '');
    }
    const first = this.#rankOf(key).slice(0, KEPT_OF_RANK);
    this.#ranks.set(key, first);
    return first;
  }
}

/** Requests, running and waiting, for each slot. */
function loadPerSlot(target: TargetState, now: number): number {
  return target.load(now) / target.record.slots;
}

/** The target with the fewest requests for each slot, if they are fewer than is allowed. */
function leastLoaded(
  targets: readonly TargetState[],
  { mostLoadPerSlot }: TargetDemand,
  now: number,
): TargetState | undefined {
  let best: TargetState | undefined;
  let bestLoad = mostLoadPerSlot;
  for (const target of targets) {
    const load = loadPerSlot(target, now);
    if (load < bestLoad) {
      best = target;
      bestLoad = load;
    }
  }
  return best;
}
