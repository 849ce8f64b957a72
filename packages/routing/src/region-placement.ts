import { stableHash } from '@ferrylock/utils';
import type { DisabledMechanisms } from './mechanisms.js';

const HASH_RANGE = 0x1_0000_0000;
/**
 * Part of its slots that a region's targets take before keys go elsewhere. Above a half, a key's
 * target has all slots taken in more than one moment of eight (five slots, arrivals by chance).
 */
const COMFORTABLE_LOAD = 0.5;
/**
 * Part of its slots that a region's targets take of requests whose bytes are dear on the way to other
 * regions. Above it they find no room: of a region that was asked for nine tenths of its slots by
 * uploads alone, an eighth was refused while targets elsewhere stood idle.
 */
const NEAR_LOAD = 0.85;
/** Weight of the present in the spare room of a region, at each update. */
const SPARE_WEIGHT = 0.2;
/** Part of the least weight that a region without spare room keeps, so that every order is whole. */
const LEAST_SPARE = 0.001;

/** What one region's targets of a service can carry, and what its callers ask for. */
export interface RegionCapacity {
  readonly region: string;
  /** Slots of its usable targets. */
  readonly slots: number;
  /** Slots that its callers' requests keep busy; undefined while that is not known. */
  readonly work: number | undefined;
}

export interface RegionPlacementOptions {
  readonly ownRegion: string;
  /** How far the part of keys that stay at home may move in a second. */
  readonly maxStepPerSecond: number;
  readonly disabledMechanisms: DisabledMechanisms;
}

/** What was decided for one region, for those who look on. */
export interface PlacedRegion extends RegionCapacity {
  readonly homeShare: number;
}

/** One region's part in the placement. */
interface Part {
  /** Part of its keys that its own targets serve. */
  homeShare: number;
  /** Room for keys of other regions, in slots. */
  spare: number;
}

/**
 * Decides for each key in which regions its requests are served. A region keeps as large a part of
 * the keys as its targets can carry, the same keys by every host's reckoning; the others go to
 * regions with room to spare, in proportion to it, always the same one for a key. The parts follow
 * capacity and demand slowly, since a key that moves is unknown where it comes.
 */
export class RegionPlacement {
  readonly #options: RegionPlacementOptions;
  readonly #regions = new Map<string, Part>();
  #updatedAt = -Infinity;
  #isMeasured = false;
  #rooms: readonly RegionCapacity[] = [];
  /** Regions of which no target counts now. */
  #absent: readonly string[] = [];

  constructor(options: RegionPlacementOptions) {
    this.#options = options;
  }

  /** Whether no region is known yet. */
  get isEmpty(): boolean {
    return this.#rooms.length === 0;
  }

  /** What was decided for each region last, and by what. */
  get parts(): PlacedRegion[] {
    return this.#rooms.map((room) => ({
      region: room.region,
      homeShare: rounded(this.homeShare(room.region)),
      slots: room.slots,
      work: room.work === undefined ? undefined : rounded(room.work),
    }));
  }

  /** Part of the region's keys that stay with its own targets. */
  homeShare(region: string): number {
    return this.#regions.get(region)?.homeShare ?? 0;
  }

  /** Whether the region serves this key for its own callers. */
  isServedLocally(region: string, key: string): boolean {
    return positionOf(key) < this.homeShare(region);
  }

  /** Whether the region serves this key where the way to others is dear: as far as it has room. */
  prefersLocal(region: string, key: string): boolean {
    const part = (NEAR_LOAD / COMFORTABLE_LOAD) * this.homeShare(region);
    return this.#options.disabledMechanisms.has('keys-at-home') || positionOf(key) < part;
  }

  /**
   * Regions in the order in which the key's requests prefer them; those come last whose targets
   * cannot be used, or are all cold.
   */
  regionOrder(key: string): string[] {
    return [...this.#presentOrderOf(key), ...this.#absent];
  }

  /** A region has a target: until parts are decided anew, for up to a second, it comes last rather than never. */
  addRegion(region: string): void {
    if (!this.#regions.has(region) && !this.#absent.includes(region)) {
      this.#absent = [...this.#absent, region];
    }
  }

  #presentOrderOf(key: string): string[] {
    const { ownRegion, disabledMechanisms: leftOut } = this.#options;
    const ranked = [...this.#regions.keys()]
      .map((region) => ({ region, rank: this.#rankOf(region, key) }))
      .sort((a, b) => b.rank - a.rank)
      .map(({ region }) => region);
    if (!this.#regions.has(ownRegion) || leftOut.has('keys-at-home')) {
      return ranked;
    }
    const others = ranked.filter((region) => region !== ownRegion);
    return this.isServedLocally(ownRegion, key) ? [ownRegion, ...others] : [...others, ownRegion];
  }

  /** Takes over what there is and is asked for now; to be called a few times a second. */
  update(rooms: readonly RegionCapacity[], now: number): void {
    const isMeasured = rooms.some(({ work }) => work !== undefined && work > 0);
    // Before callers come nothing is moved by a change: the parts are taken as they come out.
    const isFirst = !this.#isMeasured;
    this.#isMeasured ||= isMeasured;
    const seconds = Math.max(0, now - this.#updatedAt) / 1_000;
    const step = isFirst && !isMeasured ? 1 : this.#options.maxStepPerSecond * seconds;
    this.#updatedAt = now;
    this.#rooms = rooms;
    this.#absent = rooms.filter(({ slots }) => slots === 0).map(({ region }) => region);
    for (const region of [...this.#regions.keys()]) {
      if (!rooms.some((room) => room.region === region && room.slots > 0)) {
        this.#regions.delete(region);
      }
    }
    const keepsHome = !this.#options.disabledMechanisms.has('keys-at-home');
    for (const { region, homeShare, spare } of idealParts(rooms, isMeasured, keepsHome)) {
      const part = this.#regions.get(region) ?? { homeShare, spare };
      part.homeShare += clamp(homeShare - part.homeShare, -step, step);
      part.spare += (isFirst && !isMeasured ? 1 : SPARE_WEIGHT) * (spare - part.spare);
      this.#regions.set(region, part);
    }
  }

  /** Weighted rendezvous: a region is first for a part of the keys in proportion to its room. */
  #rankOf(region: string, key: string): number {
    const weight = Math.max(LEAST_SPARE, this.#regions.get(region)?.spare ?? 0);
    const point = (stableHash(`${region} ${key}`) + 1) / (HASH_RANGE + 1);
    return -weight / Math.log(point);
  }
}

/** Where the key lies among all, from 0 to 1; keys below a region's part stay there. */
function positionOf(key: string): number {
  return stableHash(`home ${key}`) / HASH_RANGE;
}

/**
 * The parts that fit capacity and demand: each region is filled up to the load that it would have
 * with all targets equally busy, or to what is comfortable where that is more.
 */
function idealParts(
  rooms: readonly RegionCapacity[],
  isMeasured: boolean,
  keepsHome: boolean,
): { region: string; homeShare: number; spare: number }[] {
  const present = rooms.filter(({ slots }) => slots > 0);
  const slots = present.reduce((sum, room) => sum + room.slots, 0);
  const workOf = (room: RegionCapacity): number =>
    isMeasured ? (room.work ?? 0) : slots / Math.max(1, present.length);
  const work = present.reduce((sum, room) => sum + workOf(room), 0);
  const load = slots === 0 ? 0 : work / slots;
  const filled = isMeasured ? Math.max(load, COMFORTABLE_LOAD) : load;
  return present.map((room) => {
    const own = workOf(room);
    const fitting = filled * room.slots;
    const kept = own <= fitting ? 1 : fitting / own;
    const homeShare = keepsHome ? kept : 0;
    return { region: room.region, homeShare, spare: fitting - homeShare * own };
  });
}

function rounded(value: number): number {
  return Number(value.toFixed(3));
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
