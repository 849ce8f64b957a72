import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { HostStatus } from './host-status.js';

/**
 * A host of which no new report was heard for this long is taken to be dead or cut off: several
 * reports, and the time that a relay keeps each.
 */
export const SILENCE_MILLISECONDS = 1_800;

/** What is known about another entry host. */
export interface Peer extends HostStatus {
  /** When its newest report was heard of, in monotonic milliseconds. */
  readonly heardAt: number;
}

/** How a status came here: from the host itself, or from one that heard it. */
export type HeardFrom = 'itself' | 'another';

/**
 * The entry hosts that are heard of, at first hand or through relays. What was heard last of a host
 * is kept after it fell silent, so that the same news on a longer way does not bring it back.
 */
export class PeerTable {
  readonly #peers = new Map<string, Peer>();
  readonly #silent = new Set<string>();

  /** @param registeredIncarnation - the start of a host that the store holds, by the host's name */
  constructor(
    readonly clock: Clock,
    readonly events: EventLog,
    readonly registeredIncarnation: (name: string) => string | undefined,
  ) {}

  get alive(): Peer[] {
    return [...this.#peers.values()].filter(({ name }) => !this.#silent.has(name));
  }

  /** A host that is heard of; undefined where it is not, or no longer. */
  get(name: string): Peer | undefined {
    return this.#silent.has(name) ? undefined : this.#peers.get(name);
  }

  /** Whether this start of the host takes callers, as far as is known here. */
  takesCallers(host: EntryHostRecord): boolean {
    const peer = this.get(host.name);
    return peer?.incarnation === host.incarnation && !peer.leaving;
  }

  /** Takes what was heard of a host; tells whether it was news. */
  take(status: HostStatus, from: HeardFrom): boolean {
    const before = this.#peers.get(status.name);
    if (before !== undefined && !this.#isNewer(status, before, from)) {
      return false;
    }
    const peer = { ...status, heardAt: this.clock.now() };
    this.#peers.set(status.name, peer);
    const wasSilent = this.#silent.delete(status.name);
    if (before?.incarnation !== status.incarnation || wasSilent) {
      this.#log(peer, true);
    }
    return true;
  }

  /** To be called a few times a second: notices hosts that fell silent. */
  sweep(): void {
    const now = this.clock.now();
    for (const peer of this.alive) {
      if (now - peer.heardAt > SILENCE_MILLISECONDS) {
        this.#silent.add(peer.name);
        this.#log(peer, false);
      }
    }
  }

  /** What others tell of another start may be long over; the store knows which one is the last. */
  #isNewer(status: HostStatus, before: Peer, from: HeardFrom): boolean {
    if (status.incarnation === before.incarnation) {
      return status.sequence > before.sequence;
    }
    return from === 'itself' || status.incarnation === this.registeredIncarnation(status.name);
  }

  #log({ name, incarnation, heardAt }: Peer, alive: boolean): void {
    this.events.write({
      event: 'peer',
      peer: name,
      incarnation,
      alive,
      silentMilliseconds: Math.round(this.clock.now() - heardAt),
    });
  }
}
