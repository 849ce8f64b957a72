import { TargetRanking } from './target-ranking.js';
import type { RankedTargets } from './target-ranking.js';
import type { DisabledMechanisms } from './mechanisms.js';
import type { RegionPlacement } from './region-placement.js';
import type { TargetState } from './target-state.js';

/** Targets of a region that cache an object, as redundancy. */
const REPLICAS = 2;
/**
 * Load per slot up to which a target accepts cache misses, which take longer: where all targets are
 * busy, they would make them busier still.
 */
const MAX_MISS_LOAD_PER_SLOT = 0.5;
/** Presumed additional processing time of a cache miss, relative to a hit, until it is known. */
const PRESUMED_MISS_PENALTY = 1;

/** Criteria of one target selection. */
export interface SelectionCriteria {
  /** Key of the requested object; equal keys prefer the same targets. */
  readonly key: string;
  /** Regions that may serve the request; empty if any may. */
  readonly homeRegions: readonly string[];
  /** Targets already tried for this request. */
  readonly tried: ReadonlySet<string>;
  /** Limit on requests, running and queued, per slot of a target. */
  readonly maxLoadPerSlot: number;
  /** Tells whether transfers between regions are expensive, so that the own one is preferred. */
  readonly prefersOwnRegion: boolean;
  /** Processing time of a cache hit; undefined before the first response. */
  readonly processingMilliseconds: number | undefined;
  /** Additional processing time of a cache miss; undefined while unknown. */
  readonly missPenaltyMilliseconds: number | undefined;
  /** Tells whether it may leave the region of its key to avoid waiting. */
  readonly mayOverflow: boolean;
}

/** Criteria that region placement depends on. */
export type PlacementCriteria = Pick<SelectionCriteria, 'key' | 'homeRegions' | 'prefersOwnRegion'>;

export interface TargetSelectorOptions {
  /** Maps a failure domain to its region. */
  readonly regionOf: (failureDomain: string) => string;
  /** Region of this entry host. */
  readonly ownRegion: string;
  /** Tells whether a failure domain is being evacuated. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** Tells whether requests to a target are expected to reach it; all are by default. */
  readonly isReachable?: ((target: TargetState) => boolean) | undefined;
  readonly placement: RegionPlacement;
  /** Round-trip time to the failure domain of a target, in milliseconds. */
  readonly roundTripMilliseconds: (target: TargetState) => number;
  readonly disabledMechanisms: DisabledMechanisms;
}

const NO_CRITERIA: Pick<SelectionCriteria, 'tried'> = { tried: new Set() };

/** Target that is eligible for a request, with its expected response time. */
interface Candidate {
  readonly target: TargetState;
  readonly milliseconds: number;
  /** Load per slot from which the target is not selected. */
  readonly maxLoadPerSlot: number;
}

/**
 * Selects the target with the shortest expected response time, from round trip, queueing and
 * processing, among the few that have or should have the object cached. All entry hosts rank the
 * targets of a key the same way, so that they agree on these without coordination.
 */
export class TargetSelector {
  readonly #options: TargetSelectorOptions;
  readonly #ranking: TargetRanking;

  constructor(options: TargetSelectorOptions) {
    this.#options = options;
    this.#ranking = new TargetRanking((target) => this.#regionOf(target));
  }

  /** Adds a target to the selection. */
  add(target: TargetState): void {
    this.#ranking.add(target);
  }

  /** Removes a target from the selection. */
  remove(target: TargetState): void {
    this.#ranking.remove(target);
  }

  /**
   * Selects the target for a request; undefined if none is eligible.
   *
   * @param mayUseCold - called before a cold target is selected
   */
  select(
    criteria: SelectionCriteria,
    now: number,
    mayUseCold: (target: TargetState) => boolean,
  ): TargetState | undefined {
    const regions = this.regionsFor(criteria);
    const ranks = this.#ranking.ranksOf(criteria.key);
    const candidates = this.#candidates(criteria, regions, ranks, now);
    if (candidates.length > 0) {
      return this.#soonest(candidates, now) ?? this.#cold(criteria, regions, now, mayUseCold);
    }
    const all = this.#ranking.allRanksOf(criteria.key);
    const more = this.#candidates(criteria, regions, all, now);
    return (
      this.#soonest(more, now) ??
      this.#cold(criteria, regions, now, mayUseCold) ??
      this.#leastLoadedOfAny(criteria, regions, now)
    );
  }

  /** Returns the allowed regions in order of preference. */
  regionsFor({ key, homeRegions, prefersOwnRegion }: PlacementCriteria): string[] {
    const { placement, ownRegion } = this.#options;
    const order = placement.regionOrder(key);
    const allowed = order.filter(
      (region) => homeRegions.length === 0 || homeRegions.includes(region),
    );
    return prefersOwnRegion && allowed.includes(ownRegion) && placement.prefersLocal(ownRegion, key)
      ? [ownRegion, ...allowed.filter((region) => region !== ownRegion)]
      : allowed;
  }

  /**
   * Returns the first healthy targets of the preferred region, and the first one of each other
   * region that serves the key for its own callers. Other targets are candidates only if the
   * preferred region has none.
   */
  #candidates(
    criteria: SelectionCriteria,
    regions: readonly string[],
    ranks: RankedTargets,
    now: number,
  ): Candidate[] {
    const candidates: Candidate[] = [];
    for (const region of regions) {
      const healthy = (ranks.get(region) ?? []).filter((target) =>
        this.#isHealthy(target, criteria, now),
      );
      const isPreferred = candidates.length === 0;
      const replicas = this.#replicas(isPreferred, criteria);
      for (const [rank, target] of healthy.slice(0, replicas).entries()) {
        const isExpectedHit = rank === 0 && (isPreferred || this.#isServedBy(region, criteria));
        if (isPreferred || isExpectedHit) {
          candidates.push(this.#candidate(target, criteria, isExpectedHit, now));
        }
      }
    }
    return candidates;
  }

  #replicas(isPreferred: boolean, { mayOverflow }: SelectionCriteria): number {
    if (isPreferred) {
      return this.#options.disabledMechanisms.has('second-copy') ? 1 : REPLICAS;
    }
    return mayOverflow && !this.#options.disabledMechanisms.has('other-regions') ? 1 : 0;
  }

  /** Tells whether a region serves the key for its own callers, and so has it cached. */
  #isServedBy(region: string, { key }: SelectionCriteria): boolean {
    return this.#options.placement.isServedLocally(region, key);
  }

  /** Estimates the response time from round trip, queueing and processing. */
  #candidate(
    target: TargetState,
    criteria: SelectionCriteria,
    isExpectedHit: boolean,
    now: number,
  ): Candidate {
    const { processingMilliseconds: processing = 1, key } = criteria;
    const missPenalty = criteria.missPenaltyMilliseconds ?? PRESUMED_MISS_PENALTY * processing;
    const isHit = isExpectedHit || target.hasCached(key, now);
    const { slots } = target.record;
    const wait = (processing / slots) * Math.max(0, this.#load(target, now) + 1 - slots);
    const penalty = isHit ? 0 : missPenalty;
    const roundTrip = this.#options.roundTripMilliseconds(target);
    return {
      target,
      milliseconds: roundTrip + wait + processing + penalty,
      maxLoadPerSlot: isHit ? criteria.maxLoadPerSlot : MAX_MISS_LOAD_PER_SLOT,
    };
  }

  #soonest(candidates: readonly Candidate[], now: number): TargetState | undefined {
    let best: Candidate | undefined;
    for (const candidate of candidates) {
      const { target, milliseconds, maxLoadPerSlot } = candidate;
      const hasRoom = this.#load(target, now) < maxLoadPerSlot * target.record.slots;
      if (hasRoom && (best === undefined || milliseconds < best.milliseconds)) {
        best = candidate;
      }
    }
    return best?.target;
  }

  #cold(
    criteria: SelectionCriteria,
    regions: readonly string[],
    now: number,
    mayUseCold: (target: TargetState) => boolean,
  ): TargetState | undefined {
    const isCold = (target: TargetState): boolean =>
      this.#isUsable(target, criteria, now) && target.isCold(now) && !target.isEjected(now);
    return this.#inOrder(criteria, regions).find((target) => isCold(target) && mayUseCold(target));
  }

  /** Selects among failing targets if all fail, since the cause is then likely elsewhere. */
  #leastLoadedOfAny(
    criteria: SelectionCriteria,
    regions: readonly string[],
    now: number,
  ): TargetState | undefined {
    const failing = this.#inOrder(criteria, regions).filter(
      (target) => this.#isUsable(target, criteria, now) && !target.isCold(now),
    );
    return this.#soonest(
      failing.map((target) => ({
        target,
        milliseconds: this.#load(target, now),
        maxLoadPerSlot: criteria.maxLoadPerSlot,
      })),
      now,
    );
  }

  #inOrder({ key }: SelectionCriteria, regions: readonly string[]): TargetState[] {
    const ranks = this.#ranking.allRanksOf(key);
    return regions.flatMap((region) => ranks.get(region) ?? []);
  }

  /** Tells whether a target is usable, warm and not failing. */
  isHealthy(target: TargetState, now: number): boolean {
    return this.#isHealthy(target, NO_CRITERIA, now);
  }

  #isHealthy(
    target: TargetState,
    criteria: Pick<SelectionCriteria, 'tried'>,
    now: number,
  ): boolean {
    return this.#isUsable(target, criteria, now) && !target.isCold(now) && !target.isEjected(now);
  }

  /**
   * Excludes targets on every path. Unlike an ejected target, one that rests or is behind a broken
   * path is never used.
   */
  #isUsable(
    target: TargetState,
    { tried }: Pick<SelectionCriteria, 'tried'>,
    now: number,
  ): boolean {
    const { isReachable, disabledMechanisms } = this.#options;
    return (
      !target.leaving &&
      !target.isResting(now, disabledMechanisms) &&
      !tried.has(target.id) &&
      !this.#options.isEvacuated(target.record.failureDomain) &&
      isReachable?.(target) !== false
    );
  }

  #load(target: TargetState, now: number): number {
    return target.load(now, this.#options.disabledMechanisms);
  }

  #regionOf(target: TargetState): string {
    return this.#options.regionOf(target.record.failureDomain);
  }
}
