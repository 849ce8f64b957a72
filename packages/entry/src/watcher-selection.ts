import { rendezvousRank } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import type { FleetView } from './fleet/fleet-view.js';
import { STALE_BELIEF_MILLISECONDS } from './fleet/stale-belief.js';

/** Number of hosts that watch the store; the others learn of changes from them. */
const WATCHERS = 3;
/** Additional delay for each rank, so that hosts do not start to watch all at once. */
const STAGGER_MILLISECONDS = 30;
const MAX_STAGGER_MILLISECONDS = 300;
/**
 * Pause after changes, so that changes in quick succession arrive in one response. The other watchers
 * only stand by for the first one.
 */
const FIRST_BATCH_MILLISECONDS = 50;
const STANDBY_BATCH_MILLISECONDS = 200;
const MAX_RELIST_DELAY_MILLISECONDS = 1_000;
/** Additional relist delay for each rank. */
const RELIST_DELAY_STEP_MILLISECONDS = 60;

export interface WatcherSelectionOptions {
  readonly clock: Clock;
  readonly view: FleetView;
  /** Whether this host relays reports between hosts. */
  readonly isRelay: () => boolean;
  /** Hosts that relay reports, whose updates propagate fastest. */
  readonly relayNames: () => readonly string[];
  /** All registered hosts; the same array while they do not change. */
  readonly hostNames: () => readonly string[];
  /** Capacity of a registered host in cores; 0 if it is not known. */
  readonly capacityOf: (name: string) => number;
  readonly ownName: string;
}

/**
 * Selection of the few hosts that watch the store. Hosts with the same membership select the same
 * watchers without an election. If these fail, the other hosts see that confirmations stop and
 * start to watch, a few at a time.
 */
export class WatcherSelection {
  readonly #options: WatcherSelectionOptions;
  #rankedHosts: readonly string[] = [];
  #cachedHostRank = 0;

  constructor(options: WatcherSelectionOptions) {
    this.#options = options;
  }

  get isWatcher(): boolean {
    return this.#options.view.isEmpty || this.dueMilliseconds < 0 || this.#relayRank() < WATCHERS;
  }

  /** Time until this host watches the store unless a confirmation arrives; negative if overdue. */
  get dueMilliseconds(): number {
    const { clock, view } = this.#options;
    return view.confirmedAt + STALE_BELIEF_MILLISECONDS + this.#stagger() - clock.now();
  }

  /** Pause between responses with changes. */
  get batchMilliseconds(): number {
    const rank = this.#relayRank();
    const isStandby = rank > 0 && rank < WATCHERS;
    return isStandby ? STANDBY_BATCH_MILLISECONDS : FIRST_BATCH_MILLISECONDS;
  }

  /** Delay before this host relists; watchers go first, as their updates propagate fastest. */
  get relistDelayMilliseconds(): number {
    const rank = Math.min(this.#relayRank(), WATCHERS + this.#hostRank());
    return Math.min(MAX_RELIST_DELAY_MILLISECONDS, rank * RELIST_DELAY_STEP_MILLISECONDS);
  }

  /** Rank of this host among the relays; infinite if it is no relay. */
  #relayRank(): number {
    const { isRelay, relayNames, capacityOf, ownName } = this.#options;
    if (!isRelay()) {
      return Infinity;
    }
    // A watch returns every version of every key, which a small host may be too slow to receive.
    const ranked = rankWatchers(relayNames()).sort((a, b) => capacityOf(b) - capacityOf(a));
    const rank = ranked.indexOf(ownName);
    return rank < 0 ? Infinity : rank;
  }

  #stagger(): number {
    return Math.min(MAX_STAGGER_MILLISECONDS, this.#hostRank() * STAGGER_MILLISECONDS);
  }

  #hostRank(): number {
    const { hostNames, ownName } = this.#options;
    const hosts = hostNames();
    if (hosts !== this.#rankedHosts) {
      this.#rankedHosts = hosts;
      this.#cachedHostRank = rankWatchers(hosts).indexOf(ownName);
    }
    return this.#cachedHostRank;
  }
}

function rankWatchers(names: readonly string[]): string[] {
  return rendezvousRank('store watch', names, (name) => name);
}
