import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { HostStatus, RequestRates } from './host-status.js';
import type { FleetSummary, RegionSummary } from './fleet-summary.js';
import { isAbsent } from './fleet-summary.js';

/**
 * A host of which no new report was heard for this long is taken to be dead or cut off: several
 * reports, and the time that a relay keeps each.
 */
export const PEER_TIMEOUT_MILLISECONDS = 1_800;

/** What is known about another entry host. */
export interface Peer extends HostStatus {
  /** When its newest report was heard of, in monotonic milliseconds. */
  readonly heardAt: number;
}

/** How a status came here: from the host itself, or from one that heard it. */
export type StatusSource = 'itself' | 'another';

/** What a relay told of the whole fleet, and when. */
interface ReceivedSummary {
  readonly fleet: FleetSummary;
  readonly at: number;
}

/**
 * The entry hosts that are heard of: each by itself, as a relay hears them, or as a whole, as relays
 * tell the others. What was heard last of a host is kept after it fell silent, so that the same news
 * on a longer way does not bring it back.
 */
export class PeerTable {
  readonly #alive = new Map<string, Peer>();
  /** What was heard last of hosts that fell silent. */
  readonly #silent = new Map<string, Peer>();

  /** What relays told of the whole fleet, by relay. */
  readonly #summaries = new Map<string, ReceivedSummary>();

  /** @param registeredIncarnation - the start of a host that the store holds, by the host's name */
  constructor(
    readonly clock: Clock,
    readonly events: EventLog,
    readonly registeredIncarnation: (name: string) => string | undefined,
  ) {}

  get alive(): Peer[] {
    return [...this.#alive.values()];
  }

  /** A host that is heard of; undefined where it is not, or no longer. */
  get(name: string): Peer | undefined {
    return this.#alive.get(name);
  }

  /** Whether this start of a registered host runs, as far as is known here. */
  isAlive(host: EntryHostRecord): boolean {
    return this.#alive.has(host.name) || this.#isInSummary(host);
  }

  /** Whether this start of a registered host takes callers, as far as is known here. */
  isServing(host: EntryHostRecord): boolean {
    return this.#alive.has(host.name) ? this.isDirectlyServing(host) : this.#isInSummary(host);
  }

  /**
   * Whether this start of a registered host was heard to take callers, without what relays tell of the
   * whole: what a relay itself passes on, or two of them would keep a dead host alive for each other.
   */
  isDirectlyServing(host: EntryHostRecord): boolean {
    const peer = this.#alive.get(host.name);
    return peer?.incarnation === host.incarnation && !peer.leaving;
  }

  /** What relays tell of a region lately; undefined where none does, as at a relay. */
  regionSummary(region: string): RegionSummary | undefined {
    for (const { fleet } of this.#summaries.values()) {
      const told = fleet.regions.get(region);
      if (told !== undefined) {
        return told;
      }
    }
    return undefined;
  }

  /** What callers of each region ask for, as relays tell lately; undefined where none does. */
  get regionDemand(): ReadonlyMap<string, RequestRates> | undefined {
    const [told] = this.#summaries.values();
    return told === undefined
      ? undefined
      : new Map([...told.fleet.regions].map(([region, { asked }]) => [region, asked]));
  }

  /** Takes what a relay tells of the whole fleet. */
  updateFromFleet(relay: string, fleet: FleetSummary): void {
    this.#summaries.set(relay, { fleet, at: this.clock.now() });
  }

  /** Takes what was heard of a host; tells whether it was news. */
  update(status: HostStatus, from: StatusSource): boolean {
    const { name } = status;
    const before = this.#alive.get(name) ?? this.#silent.get(name);
    if (before !== undefined && !this.#isNewer(status, before, from)) {
      return false;
    }
    const peer = { ...status, heardAt: this.clock.now() };
    this.#alive.set(name, peer);
    const wasSilent = this.#silent.delete(name);
    if (before?.incarnation !== status.incarnation || wasSilent) {
      this.#logTransition(peer, true);
    }
    return true;
  }

  /** To be called a few times a second: notices hosts that fell silent, and what is told no more. */
  sweep(): void {
    const now = this.clock.now();
    for (const [relay, { at }] of this.#summaries) {
      if (now - at > PEER_TIMEOUT_MILLISECONDS) {
        this.#summaries.delete(relay);
      }
    }
    for (const peer of this.#alive.values()) {
      if (now - peer.heardAt > PEER_TIMEOUT_MILLISECONDS) {
        this.#alive.delete(peer.name);
        this.#silent.set(peer.name, peer);
        this.#logTransition(peer, false);
      }
    }
  }

  /** Whether some relay that is heard does not miss it. */
  #isInSummary(host: EntryHostRecord): boolean {
    for (const { fleet } of this.#summaries.values()) {
      if (!isAbsent(fleet, host)) {
        return true;
      }
    }
    return false;
  }

  /** What others tell of another start may be long over; the store knows which one is the last. */
  #isNewer(status: HostStatus, before: Peer, from: StatusSource): boolean {
    if (status.incarnation === before.incarnation) {
      return status.sequence > before.sequence;
    }
    return from === 'itself' || status.incarnation === this.registeredIncarnation(status.name);
  }

  #logTransition({ name, incarnation, heardAt }: Peer, alive: boolean): void {
    this.events.write({
      event: 'peer',
      peer: name,
      incarnation,
      alive,
      silentMilliseconds: Math.round(this.clock.now() - heardAt),
    });
  }
}
