import type { EntryHostRecord } from './fleet/fleet-record.js';
import { largeHosts } from './fleet/large-hosts.js';
import type { FleetView } from './fleet/fleet-view.js';
import type { PeerTable } from './peers/peer-table.js';

/** Entry hosts in one answer, at most. */
const MAX_HOSTS = 64;
/** How long callers use an answer: short, so that a host that died is left soon. */
const TTL_MILLISECONDS = 2_000;
/** Fewest large hosts of a region that may serve it alone: the loss of one has to be borne. */
const MIN_LARGE_HOSTS = 3;
/** Part of the large hosts' time that all callers may take up when these are left to them. */
const LARGE_ONLY_ENTER_UTILIZATION = 0.3;
/** Part at which the small hosts come in: a rush to twice as much is to find room. */
const LARGE_ONLY_EXIT_UTILIZATION = 0.45;

/** Which entry hosts a caller is to use, and for how long. */
export interface DirectoryAnswer {
  readonly trafficAddresses: readonly string[];
  readonly ttlMilliseconds: number;
}

/** An entry host that takes callers. */
export interface DirectoryHost {
  readonly host: EntryHostRecord;
  /** Part of its time in which it has work, from 0 to 1. */
  readonly utilization: number;
}

export interface DirectoryOptions {
  readonly view: FleetView;
  readonly peers: PeerTable;
  /** This host, while it takes callers. */
  readonly own: () => DirectoryHost | undefined;
  readonly maxTtlMilliseconds: number;
}

/**
 * Tells callers which entry hosts to use: those of their own region that are heard from, and of
 * these the large ones alone while they have room for all.
 */
export class Directory {
  readonly #options: DirectoryOptions;
  /** Regions whose large hosts alone are told. */
  readonly #largeOnly = new Set<string>();

  constructor(options: DirectoryOptions) {
    this.#options = options;
  }

  answer(region: string): DirectoryAnswer {
    const hosts = this.#hosts();
    const near = hosts.filter(({ host }) => host.region === region);
    const chosen = this.#choose(region, near.length > 0 ? near : hosts).slice(0, MAX_HOSTS);
    return {
      trafficAddresses: chosen.map(({ host }) => host.trafficAddress),
      ttlMilliseconds: Math.min(TTL_MILLISECONDS, this.#options.maxTtlMilliseconds),
    };
  }

  #choose(region: string, hosts: readonly DirectoryHost[]): readonly DirectoryHost[] {
    const large = largeHosts(hosts, ({ host }) => host);
    if (large.length === hosts.length) {
      return hosts;
    }
    const bound = this.#largeOnly.has(region)
      ? LARGE_ONLY_EXIT_UTILIZATION
      : LARGE_ONLY_ENTER_UTILIZATION;
    const fits = this.#work(hosts) <= bound * capacity(large);
    if (fits && large.length >= MIN_LARGE_HOSTS) {
      this.#largeOnly.add(region);
      return large;
    }
    this.#largeOnly.delete(region);
    return hosts;
  }

  #hosts(): DirectoryHost[] {
    const { view, peers, own } = this.#options;
    const self = own();
    const others = view.records('entryHost').flatMap(({ host }) => {
      const isOther = host.name !== self?.host.name && peers.isServing(host);
      const utilization = peers.get(host.name)?.utilization ?? 0;
      return isOther ? [{ host, utilization: utilization }] : [];
    });
    return self === undefined ? others : [self, ...others];
  }

  /** Cores that the hosts' work takes up: as relays tell it, or summed up from what hosts tell. */
  #work(hosts: readonly DirectoryHost[]): number {
    const regions = [...new Set(hosts.map(({ host }) => host.region))];
    const told = regions.map((region) => this.#options.peers.regionSummary(region)?.busyCores);
    if (told.every((work) => work !== undefined)) {
      return told.reduce((sum, work) => sum + work, 0);
    }
    return hosts.reduce(
      (sum, { host, utilization: busyShare }) => sum + busyShare * host.capacity,
      0,
    );
  }
}

function capacity(hosts: readonly DirectoryHost[]): number {
  return hosts.reduce((sum, { host }) => sum + host.capacity, 0);
}
