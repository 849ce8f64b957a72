import { rendezvousRank } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { PeerTable } from './peer-table.js';
import { PEER_TIMEOUT_MILLISECONDS } from './peer-table.js';

/** Rounds per domain digest to relays of other regions, to save traffic between regions. */
export const ROUNDS_PER_CROSS_REGION_DIGEST = 2;
/** Number of relays per failure domain; more than one, so that a relay may fail. */
export const RELAYS_PER_DOMAIN = 2;

export interface RelayPlanOptions {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly peers: PeerTable;
  readonly own: EntryHostRecord;
}

/** Recipients of this host's messages in one round. */
export interface Recipients {
  /** True if this host is a relay; otherwise it only sends reports. */
  readonly isRelay: boolean;
  readonly reportRecipients: readonly EntryHostRecord[];
  /** Hosts of its failure domain with demand, which receive fleet digests. */
  readonly activeMembers: readonly EntryHostRecord[];
  /** Hosts of its failure domain without demand, which receive fleet digests less often. */
  readonly idleMembers: readonly EntryHostRecord[];
  /** Relays of other failure domains in its region, which receive domain digests. */
  readonly sameRegionRelays: readonly EntryHostRecord[];
  /** Relays of failure domains in other regions. */
  readonly otherRegionRelays: readonly EntryHostRecord[];
}

const NON_RELAY_RECIPIENTS = {
  isRelay: false,
  activeMembers: [],
  idleMembers: [],
  sameRegionRelays: [],
  otherRegionRelays: [],
} as const;

/**
 * Selects relays and recipients of messages. Without an election, the first live hosts of a failure
 * domain, ranked by capacity, are its relays. Hosts that briefly disagree only send extra messages.
 */
export class RelayPlan {
  readonly #options: RelayPlanOptions;
  /** Time at which each host incarnation was first seen in the store. */
  readonly #firstSeenAt = new Map<string, number>();
  /** Registered hosts by failure domain, preferred relays first; computed lazily. */
  #rankedDomains: ReadonlyMap<string, readonly EntryHostRecord[]> | undefined;
  #turn = 0;

  constructor(options: RelayPlanOptions) {
    this.#options = options;
    options.view.onChanges((changes) => {
      if (changes.some(({ record }) => record === undefined || record.kind === 'entryHost')) {
        this.#rankedDomains = undefined;
      }
    });
  }

  /** Names of the relays of all failure domains. */
  get relayNames(): string[] {
    return [...this.#domains.values()].flatMap((hosts) => this.#relays(hosts)).map(nameOf);
  }

  /**
   * @param isUrgent - whether to include all relays of other domains; otherwise the relays of this
   *   domain share them out and swap each round, which saves traffic and tolerates broken paths
   */
  recipients(isUrgent: boolean): Recipients {
    const { own, peers } = this.#options;
    const domain = this.#domains.get(own.failureDomain) ?? [];
    const others = domain.filter(({ name }) => name !== own.name);
    const relays = this.#relays(domain).map(nameOf);
    const isRelay = (host: EntryHostRecord): boolean => relays.includes(host.name);
    const isAlive = (host: EntryHostRecord): boolean => peers.isAlive(host);
    const reportRecipients = others.some(isAlive) ? others.filter(isRelay) : others;
    if (!relays.includes(own.name)) {
      return { ...NON_RELAY_RECIPIENTS, reportRecipients };
    }
    // Urgent rounds go to all, and must not decide whose turn it is in the others.
    this.#turn += Number(!isUrgent);
    const offset = relays.indexOf(own.name);
    const isTurnAt =
      (turn: number) =>
      (_: unknown, index: number): boolean =>
        isUrgent || (index + offset + turn) % relays.length === 0;
    // Includes hosts that are not alive here: a new one may still report to other relays.
    const members = others.filter((host) => !isRelay(host));
    const hasDemand = ({ name }: EntryHostRecord): boolean =>
      Object.keys(peers.get(name)?.asked ?? {}).length > 0;
    const isNear = (host: EntryHostRecord | undefined): boolean => host?.region === own.region;
    const foreignRelays = (isSameRegion: boolean, turn: number): EntryHostRecord[] =>
      [...this.#domains]
        .filter(([name, [host]]) => name !== own.failureDomain && isNear(host) === isSameRegion)
        .flatMap(([, hosts]) => this.#scheduledRelays(hosts, isTurnAt(turn)));
    const farTurn = Math.trunc(this.#turn / ROUNDS_PER_CROSS_REGION_DIGEST);
    return {
      isRelay: true,
      reportRecipients,
      activeMembers: members.filter(hasDemand),
      idleMembers: members.filter((host) => !hasDemand(host)),
      sameRegionRelays: foreignRelays(true, this.#turn),
      otherRegionRelays: foreignRelays(false, farTurn),
    };
  }

  /** Returns the domain's relays whose turn it is; if it has no live host, one host in turn. */
  #scheduledRelays(
    hosts: readonly EntryHostRecord[],
    isTurn: (host: EntryHostRecord, index: number) => boolean,
  ): EntryHostRecord[] {
    const relays = this.#relays(hosts);
    const next = hosts[this.#turn % hosts.length];
    return relays.length > 0 || next === undefined ? relays.filter(isTurn) : [next];
  }

  /** True if this host is a relay of its failure domain. */
  get isRelay(): boolean {
    const { own } = this.#options;
    return this.#relays(this.#domains.get(own.failureDomain) ?? []).includes(own);
  }

  #relays(hosts: readonly EntryHostRecord[]): EntryHostRecord[] {
    const relays: EntryHostRecord[] = [];
    for (const host of hosts) {
      if (relays.length < RELAYS_PER_DOMAIN && this.#isPresumedAlive(host)) {
        relays.push(host);
      }
    }
    return relays;
  }

  get #domains(): ReadonlyMap<string, readonly EntryHostRecord[]> {
    this.#rankedDomains ??= this.#rank();
    return this.#rankedDomains;
  }

  #rank(): Map<string, readonly EntryHostRecord[]> {
    const { view, own, clock } = this.#options;
    const registered = view.records('entryHost').map(({ host }) => host);
    const others = registered.filter(({ name }) => name !== own.name);
    const domains = new Map<string, EntryHostRecord[]>();
    for (const host of [own, ...others]) {
      this.#firstSeenAt.set(
        host.incarnation,
        this.#firstSeenAt.get(host.incarnation) ?? clock.now(),
      );
      const hosts = domains.get(host.failureDomain) ?? [];
      hosts.push(host);
      domains.set(host.failureDomain, hosts);
    }
    return new Map([...domains].map(([domain, hosts]) => [domain, rankByCapacity(domain, hosts)]));
  }

  /** Returns whether a host is alive, or registered too recently to have reported. */
  #isPresumedAlive(host: EntryHostRecord): boolean {
    const { clock, peers, own } = this.#options;
    if (host.name === own.name || peers.isAlive(host)) {
      return true;
    }
    const firstSeenAt = this.#firstSeenAt.get(host.incarnation) ?? -Infinity;
    return clock.now() - firstSeenAt < PEER_TIMEOUT_MILLISECONDS;
  }
}

/** Ranks a failure domain's hosts by capacity, with a stable order per domain among equals. */
function rankByCapacity(domain: string, hosts: readonly EntryHostRecord[]): EntryHostRecord[] {
  return rendezvousRank(`relay ${domain}`, hosts, nameOf).sort((a, b) => b.capacity - a.capacity);
}

function nameOf({ name }: EntryHostRecord): string {
  return name;
}
