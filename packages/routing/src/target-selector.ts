import { TargetRanking } from './target-ranking.js';
import type { RankedTargets } from './target-ranking.js';
import type { DisabledMechanisms } from './mechanisms.js';
import type { RegionPlacement } from './region-placement.js';
import type { TargetState } from './target-state.js';

/** Targets of a region that are to know a key's object, so that one outlives the loss of the other. */
const COPIES = 2;
/**
 * Requests for each slot up to which a target takes objects that it does not know. It works longer
 * on these: where all are busy, that would make them busier still.
 */
const SPILL_LOAD_PER_SLOT = 0.5;
/** Work on an object takes this many times as long where it is unknown, before that is measured. */
const PRESUMED_EXTRA = 1;

/** What a choice of target depends on, besides the targets. */
export interface SelectionCriteria {
  /** Names the object that the request is about; the same name prefers the same targets. */
  readonly key: string;
  /** Regions whose targets may serve it; empty where any may. */
  readonly homeRegions: readonly string[];
  /** Targets that were tried for this request already. */
  readonly tried: ReadonlySet<string>;
  /** Most requests, running and waiting, that a target may have for each of its slots. */
  readonly maxLoadPerSlot: number;
  /** Whether its bytes make the way between regions dear: the own region comes first if it has room. */
  readonly prefersOwnRegion: boolean;
  /** How long work on a known object takes; undefined before the first answer. */
  readonly processingMilliseconds: number | undefined;
  /** How much longer work on an unknown object takes; undefined while that is not known. */
  readonly missPenaltyMilliseconds: number | undefined;
  /** Whether it may leave its key's region because of a wait. */
  readonly mayOverflow: boolean;
}

/** What decides in which regions a request may be served. */
export type PlacementCriteria = Pick<SelectionCriteria, 'key' | 'homeRegions' | 'prefersOwnRegion'>;

export interface TargetSelectorOptions {
  /** Region of each failure domain. */
  readonly regionOf: (failureDomain: string) => string;
  /** Region of this entry host. */
  readonly ownRegion: string;
  /** Whether a failure domain is being emptied. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  readonly placement: RegionPlacement;
  /** The way to a target's failure domain and back, in milliseconds. */
  readonly roundTripMilliseconds: (target: TargetState) => number;
  readonly disabledMechanisms: DisabledMechanisms;
}

/** A target that a request may go to, and when its answer is expected there. */
interface Candidate {
  readonly target: TargetState;
  readonly milliseconds: number;
  /** Requests for each slot from which the target does not take it. */
  readonly mostLoadPerSlot: number;
}

/**
 * Chooses the target that is expected to answer first, by way, wait and work, among the few that
 * know the object or are to know it. Every entry host ranks a key's targets the same way, so that
 * they agree on these without a message.
 */
export class TargetSelector {
  readonly #options: TargetSelectorOptions;
  readonly #order: TargetRanking;

  constructor(options: TargetSelectorOptions) {
    this.#options = options;
    this.#order = new TargetRanking((target) => this.#regionOf(target));
  }

  /** A target may be chosen from now on. */
  add(target: TargetState): void {
    this.#order.add(target);
  }

  /** A target is gone. */
  remove(target: TargetState): void {
    this.#order.remove(target);
  }

  /**
   * The target to send a request to now, or undefined where none may take it.
   *
   * @param mayUseCold - asked before a target that has just started, and is slow, is chosen
   */
  select(
    demand: SelectionCriteria,
    now: number,
    mayUseCold: (target: TargetState) => boolean,
  ): TargetState | undefined {
    const regions = this.regionsFor(demand);
    const ranks = this.#order.ranksOf(demand.key);
    const candidates = this.#candidates(demand, regions, ranks, now);
    if (candidates.length > 0) {
      return this.#soonest(candidates, now) ?? this.#cold(demand, regions, now, mayUseCold);
    }
    const all = this.#order.allRanksOf(demand.key);
    const more = this.#candidates(demand, regions, all, now);
    return (
      this.#soonest(more, now) ??
      this.#cold(demand, regions, now, mayUseCold) ??
      this.#leastLoadedOfAny(demand, regions, now)
    );
  }

  /** Regions in the order in which they are preferred. */
  regionsFor({ key, homeRegions, prefersOwnRegion: staysNear }: PlacementCriteria): string[] {
    const { placement, ownRegion } = this.#options;
    const order = placement.regionOrder(key);
    const allowed = order.filter(
      (region) => homeRegions.length === 0 || homeRegions.includes(region),
    );
    return staysNear && allowed.includes(ownRegion) && placement.prefersLocal(ownRegion, key)
      ? [ownRegion, ...allowed.filter((region) => region !== ownRegion)]
      : allowed;
  }

  /**
   * The first sound targets of the preferred region, and the first one of each other region where
   * the object is known. The others are tried only where the preferred region has none.
   */
  #candidates(
    demand: SelectionCriteria,
    regions: readonly string[],
    ranks: RankedTargets,
    now: number,
  ): Candidate[] {
    const candidates: Candidate[] = [];
    for (const region of regions) {
      const sound = (ranks.get(region) ?? []).filter((target) =>
        this.#isSound(target, demand, now),
      );
      const isPreferred = candidates.length === 0;
      const copies = this.#copies(isPreferred, demand);
      for (const [place, target] of sound.slice(0, copies).entries()) {
        const isPresumed = place === 0 && (isPreferred || this.#isKept(region, demand));
        if (isPreferred || isPresumed) {
          candidates.push(this.#candidate(target, demand, isPresumed, now));
        }
      }
    }
    return candidates;
  }

  #copies(isPreferred: boolean, { mayOverflow }: SelectionCriteria): number {
    if (isPreferred) {
      return this.#options.disabledMechanisms.has('second-copy') ? 1 : COPIES;
    }
    return mayOverflow && !this.#options.disabledMechanisms.has('other-regions') ? 1 : 0;
  }

  /** Whether a region serves the key for its own callers, so that it is known there. */
  #isKept(region: string, { key }: SelectionCriteria): boolean {
    return this.#options.placement.isServedLocally(region, key);
  }

  /** When an answer is expected: way, wait for a slot, and work, longer on an unknown object. */
  #candidate(
    target: TargetState,
    demand: SelectionCriteria,
    isPresumed: boolean,
    now: number,
  ): Candidate {
    const { processingMilliseconds: work = 1, key } = demand;
    const extra = demand.missPenaltyMilliseconds ?? PRESUMED_EXTRA * work;
    const isKnown = isPresumed || target.hasCached(key, now);
    const { slots } = target.record;
    const wait = (work / slots) * Math.max(0, this.#load(target, now) + 1 - slots);
    const price = isKnown ? 0 : extra;
    const way = this.#options.roundTripMilliseconds(target);
    return {
      target,
      milliseconds: way + wait + work + price,
      mostLoadPerSlot: isKnown ? demand.maxLoadPerSlot : SPILL_LOAD_PER_SLOT,
    };
  }

  #soonest(candidates: readonly Candidate[], now: number): TargetState | undefined {
    let best: Candidate | undefined;
    for (const candidate of candidates) {
      const { target, milliseconds, mostLoadPerSlot } = candidate;
      const hasRoom = this.#load(target, now) < mostLoadPerSlot * target.record.slots;
      if (hasRoom && (best === undefined || milliseconds < best.milliseconds)) {
        best = candidate;
      }
    }
    return best?.target;
  }

  #cold(
    demand: SelectionCriteria,
    regions: readonly string[],
    now: number,
    mayUseCold: (target: TargetState) => boolean,
  ): TargetState | undefined {
    const isCold = (target: TargetState): boolean =>
      this.#isUsable(target, demand, now) && target.isCold(now) && !target.isEjected(now);
    return this.#inOrder(demand, regions).find((target) => isCold(target) && mayUseCold(target));
  }

  /** Where all fail, one of them is tried: most of a service failing is rather a fault elsewhere. */
  #leastLoadedOfAny(
    demand: SelectionCriteria,
    regions: readonly string[],
    now: number,
  ): TargetState | undefined {
    const failing = this.#inOrder(demand, regions).filter(
      (target) => this.#isUsable(target, demand, now) && !target.isCold(now),
    );
    return this.#soonest(
      failing.map((target) => ({
        target,
        milliseconds: this.#load(target, now),
        mostLoadPerSlot: demand.maxLoadPerSlot,
      })),
      now,
    );
  }

  #inOrder({ key }: SelectionCriteria, regions: readonly string[]): TargetState[] {
    const ranks = this.#order.allRanksOf(key);
    return regions.flatMap((region) => ranks.get(region) ?? []);
  }

  #isSound(target: TargetState, demand: SelectionCriteria, now: number): boolean {
    return this.#isUsable(target, demand, now) && !target.isCold(now) && !target.isEjected(now);
  }

  /**
   * Every way to a target leads through here: the first choice, a retry, cold targets, and the choice where all fail. A
   * target that asked for rest is in none of them, unlike one that failed: up to 17 requests of one host reached it in
   * a rest of 3 s before, now none (measured on emulated fleets of 10 to 65 hosts).
   */
  #isUsable(target: TargetState, { tried }: SelectionCriteria, now: number): boolean {
    return (
      !target.leaving &&
      !target.isResting(now, this.#options.disabledMechanisms) &&
      !tried.has(target.id) &&
      !this.#options.isEvacuated(target.record.failureDomain)
    );
  }

  #load(target: TargetState, now: number): number {
    return target.load(now, this.#options.disabledMechanisms);
  }

  #regionOf(target: TargetState): string {
    return this.#options.regionOf(target.record.failureDomain);
  }
}
