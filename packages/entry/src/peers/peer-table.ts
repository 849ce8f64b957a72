import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { HostReport } from './peer-messages.js';

/** A peer that has not been heard from for this long is taken to be dead or cut off. */
export const SILENCE_MILLISECONDS = 1_300;

/** What is known about another entry host. */
export interface Peer {
  readonly name: string;
  readonly incarnation: string;
  readonly report: HostReport;
  readonly heardAt: number;
}

/** The entry hosts that are heard from, and what they told last. */
export class PeerTable {
  readonly #peers = new Map<string, Peer>();
  readonly #reportListeners: ((peer: Peer, before: Peer | undefined) => void)[] = [];

  constructor(
    readonly clock: Clock,
    readonly events: EventLog,
  ) {}

  /** Calls back with each report taken, and with a peer's last one when it falls silent. */
  onReport(listener: (peer: Peer, before: Peer | undefined) => void): void {
    this.#reportListeners.push(listener);
  }

  get alive(): Peer[] {
    return [...this.#peers.values()];
  }

  get(name: string): Peer | undefined {
    return this.#peers.get(name);
  }

  /** Whether this start of the host takes callers, as far as is known here. */
  takesCallers(host: EntryHostRecord): boolean {
    const peer = this.#peers.get(host.name);
    return peer?.incarnation === host.incarnation && !peer.report.leaving;
  }

  take(report: HostReport): void {
    const before = this.#peers.get(report.name);
    const isOld =
      before?.incarnation === report.incarnation && before.report.sequence >= report.sequence;
    if (isOld) {
      return;
    }
    const { name, incarnation } = report;
    const peer = { name, incarnation, report, heardAt: this.clock.now() };
    this.#peers.set(name, peer);
    if (before?.incarnation !== incarnation) {
      this.#log(peer, true);
    }
    for (const listener of this.#reportListeners) {
      listener(peer, before);
    }
  }

  /** To be called a few times a second: drops peers that fell silent. */
  sweep(): void {
    const now = this.clock.now();
    for (const peer of this.alive) {
      if (now - peer.heardAt > SILENCE_MILLISECONDS) {
        this.#peers.delete(peer.name);
        this.#log(peer, false);
        const emptied = { ...peer, report: { ...peer.report, inFlight: {} } };
        for (const listener of this.#reportListeners) {
          listener(emptied, peer);
        }
      }
    }
  }

  #log(peer: Peer, alive: boolean): void {
    this.events.write({
      event: 'peer',
      peer: peer.name,
      incarnation: peer.incarnation,
      alive,
      silentMilliseconds: Math.round(this.clock.now() - peer.heardAt),
    });
  }
}
