import { rendezvousRank } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { PeerTable } from './peer-table.js';
import { PEER_TIMEOUT_MILLISECONDS } from './peer-table.js';

/** Hosts of a failure domain that pass on what the others tell, so that one of them may fail. */
export const RELAYS_PER_DOMAIN = 2;

export interface RelayPlanOptions {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly peers: PeerTable;
  readonly own: EntryHostRecord;
}

/** To whom this host sends what, at one moment. */
export interface Recipients {
  /** Whether others rely on this host to pass on what it hears. */
  readonly isRelay: boolean;
  /** Hosts that take its report. */
  readonly reportRecipients: readonly EntryHostRecord[];
  /**
   * Hosts of the own failure domain that it tells of the fleet: those whose callers ask for
   * something, and the others. None unless it is a relay.
   */
  readonly activeMembers: readonly EntryHostRecord[];
  readonly idleMembers: readonly EntryHostRecord[];
  /** Relays of other failure domains of its region that it tells of its own; none unless a relay. */
  readonly sameRegionRelays: readonly EntryHostRecord[];
  /** The same of other regions. */
  readonly otherRegionRelays: readonly EntryHostRecord[];
}

/** What a host that is no relay tells beside its reports. */
const NON_RELAY_RECIPIENTS = {
  isRelay: false,
  activeMembers: [],
  idleMembers: [],
  sameRegionRelays: [],
  otherRegionRelays: [],
} as const;

/**
 * Who passes reports on. The relays of a failure domain are found without an election: its hosts
 * rank themselves by what they can carry, and those that are heard and stand first are the relays.
 * Hosts that disagree for a moment send a few messages too many, and lose nothing.
 */
export class RelayPlan {
  readonly #options: RelayPlanOptions;
  /** When each start of a host was first seen in the store. */
  readonly #firstSeenAt = new Map<string, number>();
  /** Registered hosts by failure domain, those first that are to be relays; made when needed. */
  #rankByCapacity: ReadonlyMap<string, readonly EntryHostRecord[]> | undefined;
  #turn = 0;

  constructor(options: RelayPlanOptions) {
    this.#options = options;
    options.view.onChanges((changes) => {
      if (changes.some(({ record }) => record === undefined || record.kind === 'entryHost')) {
        this.#rankByCapacity = undefined;
      }
    });
  }

  /** Names of the relays of all failure domains; few even in a large fleet. */
  get relayNames(): string[] {
    return [...this.#domains.values()].flatMap((hosts) => this.#relays(hosts)).map(nameOf);
  }

  /**
   * @param isUrgent - whether relays of other domains are all told at once; else the relays of this
   *   domain take turns, so that each foreign one hears of the domain once a round. That halves what
   *   goes between regions, and a relay that one way does not reach is reached in the next round.
   */
  recipients(isUrgent: boolean): Recipients {
    const { own, peers } = this.#options;
    const domain = this.#domains.get(own.failureDomain) ?? [];
    const others = domain.filter(({ name }) => name !== own.name);
    const relays = this.#relays(domain).map(nameOf);
    const isRelay = (host: EntryHostRecord): boolean => relays.includes(host.name);
    const isHeard = (host: EntryHostRecord): boolean => peers.isAlive(host);
    const reports = others.some(isHeard) ? others.filter(isRelay) : others;
    if (!relays.includes(own.name)) {
      return { ...NON_RELAY_RECIPIENTS, reportRecipients: reports };
    }
    this.#turn++;
    const place = relays.indexOf(own.name) + this.#turn;
    const isTurn = (_: unknown, index: number): boolean =>
      isUrgent || (index + place) % relays.length === 0;
    // Also those that are not heard: one that knows too little yet reports to other relays than these.
    const members = others.filter((host) => !isRelay(host));
    const asks = ({ name }: EntryHostRecord): boolean =>
      Object.keys(peers.get(name)?.asked ?? {}).length > 0;
    const foreignRelays = [...this.#domains]
      .filter(([name]) => name !== own.failureDomain)
      .flatMap(([, hosts]) => this.#scheduledRelays(hosts, isTurn));
    const isNear = ({ region }: EntryHostRecord): boolean => region === own.region;
    return {
      isRelay: true,
      reportRecipients: reports,
      activeMembers: members.filter(asks),
      idleMembers: members.filter((host) => !asks(host)),
      sameRegionRelays: foreignRelays.filter(isNear),
      otherRegionRelays: foreignRelays.filter((host) => !isNear(host)),
    };
  }

  /** Those of its relays whose turn it is; where none of its hosts is heard, each of them in turn. */
  #scheduledRelays(
    hosts: readonly EntryHostRecord[],
    isTurn: (host: EntryHostRecord, index: number) => boolean,
  ): EntryHostRecord[] {
    const relays = this.#relays(hosts);
    const next = hosts[this.#turn % hosts.length];
    return relays.length > 0 || next === undefined ? relays.filter(isTurn) : [next];
  }

  /** Whether this host is one of the relays of its failure domain. */
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
    this.#rankByCapacity ??= this.#rank();
    return this.#rankByCapacity;
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
    return new Map([...domains].map(([domain, hosts]) => [domain, ranked(domain, hosts)]));
  }

  /** Heard of, or registered so lately that it may not have been heard yet. */
  #isPresumedAlive(host: EntryHostRecord): boolean {
    const { clock, peers, own } = this.#options;
    if (host.name === own.name || peers.isAlive(host)) {
      return true;
    }
    const seenAt = this.#firstSeenAt.get(host.incarnation) ?? -Infinity;
    return clock.now() - seenAt < PEER_TIMEOUT_MILLISECONDS;
  }
}

/** A failure domain's hosts, those that can carry most first, equals in an order of their own. */
function ranked(domain: string, hosts: readonly EntryHostRecord[]): EntryHostRecord[] {
  return rendezvousRank(`relay ${domain}`, hosts, nameOf).sort((a, b) => b.capacity - a.capacity);
}

function nameOf({ name }: EntryHostRecord): string {
  return name;
}
