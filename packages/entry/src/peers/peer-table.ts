import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../event-log.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { HostStatus, RequestRates } from './host-status.js';
import type { FleetSummary, RegionSummary } from './fleet-summary.js';
import { isAbsent, isReachingNone } from './fleet-summary.js';

/** Time without a new report after which a host counts as dead; covers several lost reports. */
export const PEER_TIMEOUT_MILLISECONDS = 1_800;

/** Last known status of another entry host. */
export interface Peer extends HostStatus {
  /** Time at which its newest report arrived, in monotonic milliseconds. */
  readonly receivedAt: number;
}

/** Sender of a status: the host itself, or another one that passes it on. */
export type StatusSource = 'itself' | 'another';

/** A relay's summary of the fleet with its time of receipt. */
interface ReceivedSummary {
  readonly fleet: FleetSummary;
  readonly receivedAt: number;
}

/**
 * Membership table of the other entry hosts. Relays track hosts individually; other hosts rely on
 * the fleet summaries of relays. The last status of a host that timed out is kept, so that a
 * delayed copy of it does not revive the host.
 */
export class PeerTable {
  readonly #alive = new Map<string, Peer>();
  /** Last statuses of hosts that timed out. */
  readonly #timedOut = new Map<string, Peer>();

  /** Latest fleet summaries, by relay. */
  readonly #summaries = new Map<string, ReceivedSummary>();

  /** @param registeredIncarnation - looks up the incarnation in the store by host name */
  constructor(
    readonly clock: Clock,
    readonly events: EventLog,
    readonly registeredIncarnation: (name: string) => string | undefined,
  ) {}

  get alive(): Peer[] {
    return [...this.#alive.values()];
  }

  get(name: string): Peer | undefined {
    return this.#alive.get(name);
  }

  /** Returns whether a registered host is alive, as far as this host knows. */
  isAlive(host: EntryHostRecord): boolean {
    return this.#alive.has(host.name) || this.#findSummaryWith(host) !== undefined;
  }

  /** Returns whether this incarnation of a host accepts callers, as far as this host knows. */
  isServing(host: EntryHostRecord): boolean {
    if (this.#alive.has(host.name)) {
      return this.isDirectlyServing(host);
    }
    const summary = this.#findSummaryWith(host);
    return summary !== undefined && !isReachingNone(summary, host);
  }

  /**
   * Returns whether this incarnation of a host is reported to accept callers, ignoring fleet
   * summaries. Relays pass on only this: otherwise two relays would keep a dead host alive.
   */
  isDirectlyServing(host: EntryHostRecord): boolean {
    const peer = this.#alive.get(host.name);
    return peer?.incarnation === host.incarnation && !peer.leaving && !peer.reachesNone;
  }

  /** Returns whether this incarnation of a host reports that it reaches no target. */
  isReachingNone(host: EntryHostRecord): boolean {
    const peer = this.#alive.get(host.name);
    return peer?.incarnation === host.incarnation && !peer.leaving && peer.reachesNone;
  }

  /** Returns a relay's current summary of a region; undefined if there is none, as on relays. */
  regionSummary(region: string): RegionSummary | undefined {
    for (const { fleet } of this.#summaries.values()) {
      const summary = fleet.regions.get(region);
      if (summary !== undefined) {
        return summary;
      }
    }
    return undefined;
  }

  /** Demand by region as relays report it; undefined if there is no summary. */
  get regionDemand(): ReadonlyMap<string, RequestRates> | undefined {
    const [summary] = this.#summaries.values();
    return summary === undefined
      ? undefined
      : new Map([...summary.fleet.regions].map(([region, { asked }]) => [region, asked]));
  }

  /** Replaces a relay's summary of the fleet. */
  updateFromFleet(relay: string, fleet: FleetSummary): void {
    this.#summaries.set(relay, { fleet, receivedAt: this.clock.now() });
  }

  /** Applies a status; returns false if it is stale. */
  update(status: HostStatus, from: StatusSource): boolean {
    const { name } = status;
    const previous = this.#alive.get(name) ?? this.#timedOut.get(name);
    if (previous !== undefined && !this.#isNewer(status, previous, from)) {
      return false;
    }
    const peer = { ...status, receivedAt: this.clock.now() };
    this.#alive.set(name, peer);
    const wasTimedOut = this.#timedOut.delete(name);
    if (previous?.incarnation !== status.incarnation || wasTimedOut) {
      this.#logTransition(peer, true);
    }
    return true;
  }

  /** Expires hosts and summaries that timed out; called a few times a second. */
  sweep(): void {
    const now = this.clock.now();
    for (const [relay, { receivedAt }] of this.#summaries) {
      if (now - receivedAt > PEER_TIMEOUT_MILLISECONDS) {
        this.#summaries.delete(relay);
      }
    }
    for (const peer of this.#alive.values()) {
      if (now - peer.receivedAt > PEER_TIMEOUT_MILLISECONDS) {
        this.#alive.delete(peer.name);
        this.#timedOut.set(peer.name, peer);
        this.#logTransition(peer, false);
      }
    }
  }

  /** Returns a fleet summary that does not list the host as absent. */
  #findSummaryWith(host: EntryHostRecord): FleetSummary | undefined {
    for (const { fleet } of this.#summaries.values()) {
      if (!isAbsent(fleet, host)) {
        return fleet;
      }
    }
    return undefined;
  }

  /** A status of another incarnation that is passed on may be stale; the store has the latest. */
  #isNewer(status: HostStatus, previous: Peer, from: StatusSource): boolean {
    if (status.incarnation === previous.incarnation) {
      return status.sequence > previous.sequence;
    }
    return from === 'itself' || status.incarnation === this.registeredIncarnation(status.name);
  }

  #logTransition({ name, incarnation, receivedAt }: Peer, alive: boolean): void {
    this.events.write({
      event: 'peer',
      peer: name,
      incarnation,
      alive,
      silentMilliseconds: Math.round(this.clock.now() - receivedAt),
    });
  }
}
