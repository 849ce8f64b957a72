import { rendezvousRank } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import type { FleetView } from './fleet/fleet-view.js';

/** Hosts that wait at the store at the same time; the others hear from them. */
const WATCHERS = 3;
/**
 * Age of the newest confirmation at which a host no longer relies on others and asks the store
 * itself. Above the time of one wait and the messages after it, below every bound on changes.
 */
const STALE_MILLISECONDS = 1_500;
/** Hosts do not all ask at once: each waits this much longer than the one ranked before it. */
const STAGGER_MILLISECONDS = 30;
/** Longest that a host waits for those ranked before it. */
const LONGEST_STAGGER_MILLISECONDS = 300;
/** The same before it reads everything anew: the others hear of it within some tenths of a second. */
const LONGEST_TURN_MILLISECONDS = 1_000;
/** Between the turns of two hosts to read everything anew. */
const TURN_STEP_MILLISECONDS = 60;

export interface WatcherSelectionOptions {
  readonly clock: Clock;
  readonly view: FleetView;
  /** Whether this host is one of those that pass on what others tell. */
  readonly isRelay: () => boolean;
  /** Hosts that pass on what others tell: what one of them learns reaches all soonest. */
  readonly relayNames: () => readonly string[];
  /** All registered hosts; the same array while nothing changes. */
  readonly hostNames: () => readonly string[];
  readonly ownName: string;
}

/**
 * Whether this host is one of the few that wait at the store. All hosts that hear from one another
 * come to the same few without an election; where these fail, the others notice that nothing is
 * confirmed any more and ask for themselves, a few at a time.
 */
export class WatcherSelection {
  readonly #options: WatcherSelectionOptions;
  #rankedHosts: readonly string[] = [];
  #rank = 0;

  constructor(options: WatcherSelectionOptions) {
    this.#options = options;
  }

  get isWatcher(): boolean {
    const { clock, view } = this.#options;
    const age = clock.now() - view.confirmedAt;
    if (view.isEmpty || age > STALE_MILLISECONDS + this.#stagger()) {
      return true;
    }
    return this.#place() < WATCHERS;
  }

  /** How long this host lets others go before it reads everything anew: those first that wait at the store, whose word reaches all soonest. */
  get relistDelayMilliseconds(): number {
    const place = Math.min(this.#place(), WATCHERS + this.#ownRank());
    return Math.min(LONGEST_TURN_MILLISECONDS, place * TURN_STEP_MILLISECONDS);
  }

  /** Its place among those that are to wait at the store; infinite where it is no relay. */
  #place(): number {
    const { isRelay, relayNames, ownName } = this.#options;
    const place = isRelay() ? watchOrder(relayNames()).indexOf(ownName) : -1;
    return place < 0 ? Infinity : place;
  }

  #stagger(): number {
    return Math.min(LONGEST_STAGGER_MILLISECONDS, this.#ownRank() * STAGGER_MILLISECONDS);
  }

  #ownRank(): number {
    const { hostNames, ownName } = this.#options;
    const hosts = hostNames();
    if (hosts !== this.#rankedHosts) {
      this.#rankedHosts = hosts;
      this.#rank = watchOrder(hosts).indexOf(ownName);
    }
    return this.#rank;
  }
}

function watchOrder(names: readonly string[]): string[] {
  return rendezvousRank('store watch', names, (name) => name);
}
