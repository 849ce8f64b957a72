import { stablePosition } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from './event-log.js';

/** Utilization of a region's hosts from which other regions take callers over, if they have room. */
const SHORT_UTILIZATION = 0.85;
/** Utilization below which callers are led back. */
const RELAXED_UTILIZATION = 0.65;
/** Utilization of other regions' hosts up to which they have room for more callers. */
export const ROOM_UTILIZATION = 0.6;
/** Utilization from which they have none even for the callers that they took over. */
const FULL_UTILIZATION = 0.8;
/** Largest share of a region's callers that others serve, so that its own hosts stay in use. */
const MAX_SHARE = 0.8;
/**
 * Change of the share within the window of the limit on shifts, as a part of that limit: callers ask
 * at different times and send different numbers of requests.
 */
const STEP_OF_LIMIT = 0.35;
/** Multiple of that while hosts of the region are missing, which moves callers in any case. */
const MISSING_HOSTS_FACTOR = 5;
/** Interval at which the load of hosts is looked at, since that costs as much as an answer. */
const STEP_MILLISECONDS = 100;
/** Longest time that one change of the share covers, however long nobody asked. */
const MAX_STEP_MILLISECONDS = 500;

/** Change of the share that is logged. */
const LOGGED_STEP = 0.05;

/** How busy hosts are, in utilization from 0 to 1; undefined if none has told. */
export interface RegionLoad {
  readonly own: number | undefined;
  /** Of the least busy other region. */
  readonly others: number | undefined;
  /** Whether registered hosts of the region do not serve. */
  readonly lacksHosts: boolean;
}

export interface RegionOverflowOptions {
  readonly clock: Clock;
  readonly events: Pick<EventLog, 'write'>;
  /** Bound on the share of a region's requests that change the region within a window. */
  readonly shiftLimit: { readonly share: number; readonly windowMilliseconds: number };
}

interface RegionState {
  share: number;
  updatedAt: number;
  /** Share as last logged. */
  loggedShare: number;
}

/**
 * Leads a part of a region's callers to other regions while its own hosts are short of processor
 * time, and back again. All hosts see the same reports and take the same small steps, so that they
 * agree without messages; the position of a caller's address decides whether it belongs to the share,
 * so that callers keep their connections while the share stays.
 */
export class RegionOverflow {
  readonly #options: RegionOverflowOptions;
  readonly #states = new Map<string, RegionState>();

  constructor(options: RegionOverflowOptions) {
    this.#options = options;
  }

  /** Share of the callers of each region that others serve; regions without any are omitted. */
  get shares(): ReadonlyMap<string, number> {
    const shares = [...this.#states].map(([region, { share }]) => [region, share] as const);
    return new Map(shares.filter(([, share]) => share > 0));
  }

  /** Decides whether a caller of a region uses hosts of other regions now. */
  leadsAway(region: string, caller: string, readLoad: () => RegionLoad): boolean {
    const state = this.#stateOf(region);
    const elapsed = this.#options.clock.now() - state.updatedAt;
    if (elapsed >= STEP_MILLISECONDS) {
      const load = readLoad();
      this.#adjust(state, load, elapsed);
      this.#logIfChanged(region, state, load);
    }
    return state.share > 0 && stablePosition(caller) < state.share;
  }

  #stateOf(region: string): RegionState {
    const known = this.#states.get(region);
    if (known !== undefined) {
      return known;
    }
    const created = { share: 0, updatedAt: this.#options.clock.now(), loggedShare: 0 };
    this.#states.set(region, created);
    return created;
  }

  #logIfChanged(region: string, state: RegionState, { own, others }: RegionLoad): void {
    const { share, loggedShare } = state;
    const isEnd = share === 0 && loggedShare > 0;
    if (Math.abs(share - loggedShare) < LOGGED_STEP && !isEnd) {
      return;
    }
    state.loggedShare = share;
    this.#options.events.write({ event: 'region-overflow', region, share, own, others });
  }

  #adjust(state: RegionState, load: RegionLoad, elapsed: number): void {
    state.updatedAt += elapsed;
    const { share, windowMilliseconds } = this.#options.shiftLimit;
    const covered = Math.min(MAX_STEP_MILLISECONDS, elapsed);
    const step = (STEP_OF_LIMIT * share * covered) / windowMilliseconds;
    const change = directionOf(load) * step;
    const factor = change > 0 && load.lacksHosts ? MISSING_HOSTS_FACTOR : 1;
    state.share = Math.min(MAX_SHARE, Math.max(0, state.share + factor * change));
  }
}

/** 1 if more callers are led away, -1 if fewer are. */
function directionOf({ own, others }: RegionLoad): -1 | 0 | 1 {
  if (others === undefined || others >= FULL_UTILIZATION) {
    return -1;
  }
  if (own === undefined) {
    return 0;
  }
  if (own >= SHORT_UTILIZATION) {
    return others <= ROOM_UTILIZATION ? 1 : 0;
  }
  return own < RELAXED_UTILIZATION ? -1 : 0;
}
