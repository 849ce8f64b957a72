import { stableHash, stablePosition } from '@ferrylock/utils';
import type { DisabledMechanisms } from './mechanisms.js';

const HASH_RANGE = 0x1_0000_0000;
/**
 * Utilization of the slots of a region up to which it keeps all its keys. Above one half, random
 * arrivals often fill all slots of the target of a key: with five slots, in more than one moment of
 * eight.
 */
const TARGET_UTILIZATION = 0.5;
/**
 * Utilization up to which a region keeps requests that are expensive to transfer between regions.
 * Above it, requests are refused although targets elsewhere are idle.
 */
const LOCAL_UTILIZATION = 0.85;
/** Weight of the current spare capacity in its moving average. */
const SPARE_WEIGHT = 0.2;
/** Minimum weight, so that regions without spare capacity still have a place in every order. */
const MIN_SPARE = 0.001;

/** Capacity of the targets of one region for a service, and the demand of its callers. */
export interface RegionCapacity {
  readonly region: string;
  /** Slots of its available targets. */
  readonly slots: number;
  /** Slots that the requests of its callers occupy; undefined while unknown. */
  readonly work: number | undefined;
}

export interface RegionPlacementOptions {
  readonly ownRegion: string;
  /** Maximum change per second of the share of keys that a region serves itself. */
  readonly maxStepPerSecond: number;
  readonly disabledMechanisms: DisabledMechanisms;
}

/** Placement of one region, for monitoring. */
export interface PlacedRegion extends RegionCapacity {
  readonly homeShare: number;
}

/** Placement state of one region. */
interface RegionState {
  /** Share of its keys that its own targets serve. */
  homeShare: number;
  /** Spare capacity for keys of other regions, in slots. */
  spare: number;
}

/**
 * Decides which regions serve each key. A region keeps as large a share of its keys as its targets
 * can carry, the same keys on every host. The remaining keys go to regions with spare capacity, in
 * proportion to it and always to the same one. Shares follow capacity and demand slowly, since a
 * moved key causes cache misses.
 */
export class RegionPlacement {
  readonly #options: RegionPlacementOptions;
  readonly #states = new Map<string, RegionState>();
  #updatedAt = -Infinity;
  #isMeasured = false;
  #capacities: readonly RegionCapacity[] = [];
  /** Regions without an available target. */
  #unavailable: readonly string[] = [];

  constructor(options: RegionPlacementOptions) {
    this.#options = options;
  }

  /** Tells whether no region is known yet. */
  get isEmpty(): boolean {
    return this.#capacities.length === 0;
  }

  /** Current placement of each region, with its inputs. */
  get parts(): PlacedRegion[] {
    return this.#capacities.map((capacity) => ({
      region: capacity.region,
      homeShare: rounded(this.homeShare(capacity.region)),
      slots: capacity.slots,
      work: capacity.work === undefined ? undefined : rounded(capacity.work),
    }));
  }

  /** Slots that the requests of all callers occupy; undefined unless all regions are known. */
  get work(): number | undefined {
    let total = 0;
    for (const { work } of this.#capacities) {
      if (work === undefined) {
        return undefined;
      }
      total += work;
    }
    return total;
  }

  /** Share of the keys of the region that its own targets serve. */
  homeShare(region: string): number {
    return this.#states.get(region)?.homeShare ?? 0;
  }

  /** Tells whether the region serves this key for its own callers. */
  isServedLocally(region: string, key: string): boolean {
    return keyPosition(key) < this.homeShare(region);
  }

  /** Tells whether the region serves this key if transfers to other regions are expensive. */
  prefersLocal(region: string, key: string): boolean {
    const share = (LOCAL_UTILIZATION / TARGET_UTILIZATION) * this.homeShare(region);
    return this.#options.disabledMechanisms.has('keys-at-home') || keyPosition(key) < share;
  }

  /** Returns all regions in the order of preference for a key, unavailable ones last. */
  regionOrder(key: string): string[] {
    return [...this.#availableOrder(key), ...this.#unavailable];
  }

  /** Adds a region that got its first target. It ranks last until the next update. */
  addRegion(region: string): void {
    if (!this.#states.has(region) && !this.#unavailable.includes(region)) {
      this.#unavailable = [...this.#unavailable, region];
    }
  }

  #availableOrder(key: string): string[] {
    const { ownRegion, disabledMechanisms: disabled } = this.#options;
    const ranked = [...this.#states.keys()]
      .map((region) => ({ region, rank: this.#weightOf(region, key) }))
      .sort((a, b) => b.rank - a.rank)
      .map(({ region }) => region);
    if (!this.#states.has(ownRegion) || disabled.has('keys-at-home')) {
      return ranked;
    }
    const others = ranked.filter((region) => region !== ownRegion);
    return this.isServedLocally(ownRegion, key) ? [ownRegion, ...others] : [...others, ownRegion];
  }

  /** Updates capacity and demand. Called several times per second. */
  update(capacities: readonly RegionCapacity[], now: number): void {
    const isMeasured = capacities.some(({ work }) => work !== undefined && work > 0);
    // Without any demand so far, a change moves no requests and is applied at once.
    const isFirst = !this.#isMeasured;
    this.#isMeasured ||= isMeasured;
    const seconds = Math.max(0, now - this.#updatedAt) / 1_000;
    const step = isFirst && !isMeasured ? 1 : this.#options.maxStepPerSecond * seconds;
    this.#updatedAt = now;
    this.#capacities = capacities;
    this.#unavailable = capacities.filter(({ slots }) => slots === 0).map(({ region }) => region);
    for (const region of [...this.#states.keys()]) {
      if (!capacities.some((capacity) => capacity.region === region && capacity.slots > 0)) {
        this.#states.delete(region);
      }
    }
    const servesLocally = !this.#options.disabledMechanisms.has('keys-at-home');
    for (const { region, homeShare, spare } of idealShares(capacities, isMeasured, servesLocally)) {
      const state = this.#states.get(region) ?? { homeShare, spare };
      state.homeShare += clamp(homeShare - state.homeShare, -step, step);
      state.spare += (isFirst && !isMeasured ? 1 : SPARE_WEIGHT) * (spare - state.spare);
      this.#states.set(region, state);
    }
  }

  /** Weighted rendezvous hashing by the spare capacity of the region. */
  #weightOf(region: string, key: string): number {
    const weight = Math.max(MIN_SPARE, this.#states.get(region)?.spare ?? 0);
    const point = (stableHash(`${region} ${key}`) + 1) / (HASH_RANGE + 1);
    return -weight / Math.log(point);
  }
}

/** Position of the key from 0 to 1; a region keeps the keys below its home share. */
function keyPosition(key: string): number {
  return stablePosition(`home ${key}`);
}

/**
 * Computes the shares that fit capacity and demand: each region is filled up to the utilization at
 * which all targets are equally busy, or to the target utilization if that is higher.
 */
function idealShares(
  capacities: readonly RegionCapacity[],
  isMeasured: boolean,
  servesLocally: boolean,
): { region: string; homeShare: number; spare: number }[] {
  const present = capacities.filter(({ slots }) => slots > 0);
  const slots = present.reduce((sum, capacity) => sum + capacity.slots, 0);
  const demandOf = (capacity: RegionCapacity): number =>
    isMeasured ? (capacity.work ?? 0) : slots / Math.max(1, present.length);
  const work = present.reduce((sum, capacity) => sum + demandOf(capacity), 0);
  const load = slots === 0 ? 0 : work / slots;
  const utilization = isMeasured ? Math.max(load, TARGET_UTILIZATION) : load;
  return present.map((capacity) => {
    const demand = demandOf(capacity);
    const usable = utilization * capacity.slots;
    const localShare = demand <= usable ? 1 : usable / demand;
    const homeShare = servesLocally ? localShare : 0;
    return { region: capacity.region, homeShare, spare: usable - homeShare * demand };
  });
}

function rounded(value: number): number {
  return Number(value.toFixed(3));
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
