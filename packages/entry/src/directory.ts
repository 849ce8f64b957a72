import type { EntryHostRecord } from './fleet/fleet-record.js';
import { largeHosts } from './fleet/large-hosts.js';
import type { FleetView } from './fleet/fleet-view.js';
import type { PeerTable } from './peers/peer-table.js';
import type { RegionLoad, RegionOverflow } from './region-overflow.js';
import { ROOM_UTILIZATION } from './region-overflow.js';

/** Maximum number of entry hosts in an answer. */
const MAX_HOSTS = 64;
/** Short, so that callers soon stop using a host that failed. */
const TTL_MILLISECONDS = 2_000;
/** Minimum number of large hosts to serve a region alone, so that the loss of one is tolerated. */
const MIN_LARGE_HOSTS = 3;
/** Utilization of the large hosts up to which they start to serve a region alone. */
const LARGE_ONLY_ENTER_UTILIZATION = 0.3;
/** Utilization at which small hosts are added; leaves capacity for twice the load. */
const LARGE_ONLY_EXIT_UTILIZATION = 0.45;

/** Entry hosts that a caller may use, and for how long. */
export interface DirectoryAnswer {
  readonly trafficAddresses: readonly string[];
  readonly ttlMilliseconds: number;
}

/** A caller that looks entry hosts up. */
export interface DirectoryQuery {
  readonly region: string;
  /** Host name that its requests are for; absent if it is not known. */
  readonly name?: string | undefined;
  /** Address of the caller; absent if it is not known. */
  readonly caller?: string | undefined;
}

/** An entry host that accepts callers. */
export interface DirectoryHost {
  readonly host: EntryHostRecord;
  /** Event loop utilization from 0 to 1; undefined if it is not known. */
  readonly utilization: number | undefined;
}

export interface DirectoryOptions {
  readonly view: FleetView;
  readonly peers: PeerTable;
  /** This host while it accepts callers. */
  readonly own: () => DirectoryHost | undefined;
  /** Whether this host reaches no target. */
  readonly reachesNone: () => boolean;
  readonly overflow: RegionOverflow;
  /** Whether callers for a host name may be led to other regions while their own has hosts. */
  readonly mayOverflow: (name: string) => boolean;
  readonly maxTtlMilliseconds: number;
}

/**
 * Discovery of entry hosts for callers: the live hosts of the caller's region, and of these only
 * the large ones while they have capacity for all callers. While all of them together are short of
 * processor time, some answers name hosts of other regions.
 */
export class Directory {
  readonly #options: DirectoryOptions;
  /** Regions that are served by their large hosts alone. */
  readonly #largeOnlyRegions = new Set<string>();

  constructor(options: DirectoryOptions) {
    this.#options = options;
  }

  answer(query: DirectoryQuery): DirectoryAnswer {
    const { region } = query;
    const hosts = this.#hosts();
    const local = hosts.filter(({ host }) => host.region === region);
    const others = local.length > 0 ? this.#overflowHosts(query, hosts) : [];
    const chosen =
      others.length > 0 ? others : this.#choose(region, local.length > 0 ? local : hosts);
    return {
      trafficAddresses: chosen.slice(0, MAX_HOSTS).map(({ host }) => host.trafficAddress),
      ttlMilliseconds: Math.min(TTL_MILLISECONDS, this.#options.maxTtlMilliseconds),
    };
  }

  /** Hosts of other regions that this answer names; none if the region's own are to serve. */
  #overflowHosts(
    { region, name, caller }: DirectoryQuery,
    hosts: readonly DirectoryHost[],
  ): readonly DirectoryHost[] {
    const { overflow, mayOverflow } = this.#options;
    const others = hosts.filter(({ host }) => host.region !== region);
    if (name === undefined || caller === undefined || others.length === 0 || !mayOverflow(name)) {
      return [];
    }
    if (!overflow.leadsAway(region, caller, () => this.#loadOf(region, hosts))) {
      return [];
    }
    return others.filter(({ utilization = 0 }) => utilization <= ROOM_UTILIZATION);
  }

  #loadOf(region: string, hosts: readonly DirectoryHost[]): RegionLoad {
    const byRegion = new Map<string, DirectoryHost[]>();
    for (const host of hosts) {
      const known = byRegion.get(host.host.region) ?? [];
      byRegion.set(host.host.region, known);
      known.push(host);
    }
    const loads = [...byRegion].flatMap(([name, members]) => {
      const utilization = this.#utilizationOf(members);
      return name === region || utilization === undefined ? [] : [utilization];
    });
    const local = byRegion.get(region) ?? [];
    const registered = this.#options.view
      .records('entryHost')
      .filter(({ host }) => host.region === region);
    return {
      own: this.#utilizationOf(local),
      others: loads.length === 0 ? undefined : Math.min(...loads),
      lacksHosts: registered.length > local.length,
    };
  }

  /** Mean utilization of the hosts of a region, by their capacity; undefined if none is known. */
  #utilizationOf(hosts: readonly DirectoryHost[]): number | undefined {
    const known = hosts.filter(({ utilization }) => utilization !== undefined);
    if (known.length > 0) {
      return busyCoresOf(known) / totalCapacity(known);
    }
    const [first] = hosts;
    const summary = first && this.#options.peers.regionSummary(first.host.region);
    return summary && summary.busyCores / totalCapacity(hosts);
  }

  #choose(region: string, hosts: readonly DirectoryHost[]): readonly DirectoryHost[] {
    const large = largeHosts(hosts, ({ host }) => host);
    if (large.length === hosts.length) {
      return hosts;
    }
    const maxUtilization = this.#largeOnlyRegions.has(region)
      ? LARGE_ONLY_EXIT_UTILIZATION
      : LARGE_ONLY_ENTER_UTILIZATION;
    const fits = this.#busyCores(hosts) <= maxUtilization * totalCapacity(large);
    if (fits && large.length >= MIN_LARGE_HOSTS) {
      this.#largeOnlyRegions.add(region);
      return large;
    }
    this.#largeOnlyRegions.delete(region);
    return hosts;
  }

  /**
   * Hosts that accept callers; those that reach no target only if there are no others, since these
   * tell callers at once when to return.
   */
  #hosts(): readonly DirectoryHost[] {
    const { peers, own, reachesNone } = this.#options;
    const self = own();
    const serving = this.#others(self, (host) => peers.isServing(host));
    if (self === undefined) {
      return serving.length > 0
        ? serving
        : this.#others(self, (host) => peers.isReachingNone(host));
    }
    if (!reachesNone()) {
      return [self, ...serving];
    }
    return serving.length > 0
      ? serving
      : [self, ...this.#others(self, (host) => peers.isReachingNone(host))];
  }

  #others(
    self: DirectoryHost | undefined,
    isIncluded: (host: EntryHostRecord) => boolean,
  ): DirectoryHost[] {
    const { view, peers } = this.#options;
    return view.records('entryHost').flatMap(({ host }) => {
      const utilization = knownUtilization(peers.get(host.name)?.utilization);
      return host.name !== self?.host.name && isIncluded(host) ? [{ host, utilization }] : [];
    });
  }

  /** Busy cores by the summaries of relays, or else by the reports of the hosts. */
  #busyCores(hosts: readonly DirectoryHost[]): number {
    const regions = [...new Set(hosts.map(({ host }) => host.region))];
    const reported = regions.map((region) => this.#options.peers.regionSummary(region)?.busyCores);
    if (reported.every((cores) => cores !== undefined)) {
      return reported.reduce((sum, cores) => sum + cores, 0);
    }
    return busyCoresOf(hosts);
  }
}

/** A report outside of 0 to 1 says nothing. */
function knownUtilization(reported: number | undefined): number | undefined {
  return reported !== undefined && reported >= 0 && reported <= 1 ? reported : undefined;
}

function busyCoresOf(hosts: readonly DirectoryHost[]): number {
  return hosts.reduce((sum, { host, utilization = 0 }) => sum + utilization * host.capacity, 0);
}

function totalCapacity(hosts: readonly DirectoryHost[]): number {
  return hosts.reduce((sum, { host }) => sum + host.capacity, 0);
}
