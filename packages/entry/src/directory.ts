import type { EntryHostRecord } from './fleet/fleet-record.js';
import type { FleetView } from './fleet/fleet-view.js';
import type { PeerTable } from './peers/peer-table.js';

/** Entry hosts in one answer, at most. */
const MOST_HOSTS = 64;
/** How long callers use an answer: short, so that a host that died is left soon. */
const LIFETIME_MILLISECONDS = 2_000;

/** Which entry hosts a caller is to use, and for how long. */
export interface DirectoryAnswer {
  readonly trafficAddresses: readonly string[];
  readonly lifetimeMilliseconds: number;
}

export interface DirectoryOptions {
  readonly view: FleetView;
  readonly peers: PeerTable;
  /** This host, while it takes callers. */
  readonly own: () => EntryHostRecord | undefined;
  readonly longestLifetimeMilliseconds: number;
}

/** Tells callers which entry hosts to use: those of their own region that are heard from. */
export class Directory {
  readonly #options: DirectoryOptions;

  constructor(options: DirectoryOptions) {
    this.#options = options;
  }

  answer(region: string): DirectoryAnswer {
    const hosts = this.#hosts();
    const near = hosts.filter((host) => host.region === region);
    const chosen = (near.length > 0 ? near : hosts).slice(0, MOST_HOSTS);
    return {
      trafficAddresses: chosen.map(({ trafficAddress }) => trafficAddress),
      lifetimeMilliseconds: Math.min(
        LIFETIME_MILLISECONDS,
        this.#options.longestLifetimeMilliseconds,
      ),
    };
  }

  #hosts(): EntryHostRecord[] {
    const { view, peers, own } = this.#options;
    const self = own();
    const others = view
      .records('entryHost')
      .map(({ host }) => host)
      .filter((host) => host.name !== self?.name && peers.takesCallers(host));
    return self === undefined ? others : [self, ...others];
  }
}
