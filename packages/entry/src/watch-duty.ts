import { rendezvousRank } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import type { FleetView } from './fleet/fleet-view.js';
import type { PeerTable } from './peers/peer-table.js';

/** Hosts that wait at the store at the same time; the others hear from them. */
const WATCHERS = 3;
/**
 * Age of the newest confirmation at which a host no longer relies on others and asks the store
 * itself. Above the time of one wait and the reports after it, below every bound on changes.
 */
const STALE_MILLISECONDS = 1_500;

export interface WatchDutyOptions {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly peers: PeerTable;
  readonly ownName: string;
}

/**
 * Whether this host is one of the few that wait at the store. All hosts that hear from one another
 * come to the same few without an election; where these fail, the others notice that nothing is
 * confirmed any more and ask for themselves.
 */
export class WatchDuty {
  readonly #options: WatchDutyOptions;

  constructor(options: WatchDutyOptions) {
    this.#options = options;
  }

  get isNeeded(): boolean {
    const { clock, view, peers, ownName } = this.#options;
    if (view.isEmpty || clock.now() - view.confirmedAt > STALE_MILLISECONDS) {
      return true;
    }
    const names = [ownName, ...peers.alive.map(({ name }) => name)];
    return rendezvousRank('store watch', names, (name) => name)
      .slice(0, WATCHERS)
      .includes(ownName);
  }
}
