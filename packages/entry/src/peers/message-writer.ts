import type { Clock } from '@ferrylock/utils';
import { createJSONRPCNotification } from 'json-rpc-2.0';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { FleetDelta, FleetView } from '../fleet/fleet-view.js';
import type { HostStatus, RequestRates } from './host-status.js';
import { encodeStatuses } from './host-status.js';
import type { InFlight } from './in-flight.js';
import { encodeInFlight } from './in-flight.js';
import type { PeerLoads } from './peer-loads.js';
import type { Digest } from './peer-messages.js';
import { DIGEST_METHOD, REPORT_METHOD } from './peer-messages.js';
import type { PeerTable } from './peer-table.js';
import type { StoreAnswers } from './store-answers.js';

/** Changes that a digest carries at most: some 200 bytes each, and a datagram is to stay small. */
const MOST_NEWS = 6;

export interface MessageWriterOptions {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly peers: PeerTable;
  readonly loads: PeerLoads;
  readonly answers: StoreAnswers;
  readonly own: EntryHostRecord;
  readonly isLeaving: () => boolean;
  /** Part of this host's time in which it has work, from 0 to 1. */
  readonly busyShare: () => number;
  /** What this host's callers ask for. */
  readonly asked: () => RequestRates;
  /** When the store last answered this host itself, in monotonic milliseconds. */
  readonly storeAnsweredAt: () => number;
}

/** How sources of loads are named. */
export const loadSource = {
  host: (name: string): string => `host ${name}`,
  domain: (failureDomain: string): string => `domain ${failureDomain}`,
  fleet: 'fleet',
  isHost: (source: string): boolean => source.startsWith('host '),
  isPart: (source: string): boolean => source !== 'fleet',
} as const;

/** Writes what this host tells others: its report, and a relay's digests. */
export class MessageWriter {
  readonly #options: MessageWriterOptions;
  #sequence = 0;
  #inFlight: InFlight = {};
  #toldAnswerAt = -Infinity;

  constructor(options: MessageWriterOptions) {
    this.#options = options;
  }

  /** Begins a new report: what is written from now on tells of the present. */
  next(): void {
    this.#sequence++;
    this.#inFlight = this.#options.loads.report(this.#sequence);
    this.#tellStoreAnswer();
  }

  report(): string {
    const params = {
      statuses: encodeStatuses([this.#ownStatus()]),
      ...this.#knowledge(this.#inFlight),
    };
    return JSON.stringify(createJSONRPCNotification(REPORT_METHOD, params));
  }

  /**
   * A relay's digest of its own failure domain, for the others' relays.
   *
   * @param knownToAll - revision of a change that all who get it know
   */
  domainDigest(knownToAll: number): string {
    const inFlight = this.#options.loads.sum(loadSource.isHost, this.#inFlight);
    return this.#digest('domain', this.#ownDomainStatuses(), inFlight, knownToAll);
  }

  /**
   * A relay's digest of the whole fleet, for its own failure domain.
   *
   * @param knownToAll - revision of a change that all who get it know
   * @param tellsAll - whether to tell of the hosts of other failure domains too
   */
  fleetDigest(knownToAll: number, tellsAll: boolean): string {
    const { loads, peers } = this.#options;
    const inFlight = loads.onlyBusy(loads.sum(loadSource.isPart, this.#inFlight));
    const statuses = tellsAll ? [this.#ownStatus(), ...peers.alive] : this.#ownDomainStatuses();
    return this.#digest('fleet', statuses, inFlight, knownToAll);
  }

  #digest(
    scope: Digest['scope'],
    statuses: readonly HostStatus[],
    inFlight: InFlight,
    knownToAll: number,
  ): string {
    const { name, failureDomain } = this.#options.own;
    const news = this.#newsAfter(knownToAll);
    const params = {
      from: name,
      failureDomain,
      scope,
      statuses: encodeStatuses(statuses),
      ...(news === undefined ? {} : { news }),
      ...this.#knowledge(inFlight),
    };
    return JSON.stringify(createJSONRPCNotification(DIGEST_METHOD, params));
  }

  #knowledge(inFlight: InFlight): Record<string, unknown> {
    const { view, answers } = this.#options;
    const { newest } = answers;
    return {
      lastChange: view.lastChange,
      ...(newest === undefined ? {} : { storeAnswer: newest }),
      inFlight: encodeInFlight(inFlight),
    };
  }

  #ownStatus(): HostStatus {
    const { own, isLeaving, busyShare, asked } = this.#options;
    const { name, incarnation } = own;
    return {
      name,
      incarnation,
      sequence: this.#sequence,
      leaving: isLeaving(),
      busyShare: busyShare(),
      asked: asked(),
    };
  }

  /** Other failure domains hear of a host from the relays of its own. */
  #ownDomainStatuses(): HostStatus[] {
    const { peers, view, own } = this.#options;
    const hosts = view.records('entryHost').map(({ host }) => host);
    const domains = new Map(hosts.map(({ name, failureDomain }) => [name, failureDomain]));
    const fellows = peers.alive.filter(({ name }) => domains.get(name) === own.failureDomain);
    return [this.#ownStatus(), ...fellows];
  }

  #newsAfter(revision: number): FleetDelta | undefined {
    const { view } = this.#options;
    const delta = revision >= view.lastChange ? undefined : view.deltaAfter(revision);
    return delta !== undefined && delta.changes.length <= MOST_NEWS ? delta : undefined;
  }

  /** A new answer of the store to this host itself goes out under the number of this report. */
  #tellStoreAnswer(): void {
    const { clock, view, answers, own, storeAnsweredAt } = this.#options;
    const answeredAt = storeAnsweredAt();
    if (answeredAt <= this.#toldAnswerAt) {
      return;
    }
    this.#toldAnswerAt = answeredAt;
    const { name, incarnation } = own;
    const ageMilliseconds = clock.now() - answeredAt;
    const { lastChange } = view;
    answers.take({ name, incarnation, sequence: this.#sequence, lastChange, ageMilliseconds });
  }
}
