import type { UsageByName } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import { createJSONRPCNotification } from 'json-rpc-2.0';
import type { AccountLimitController } from '../accounts/account-limit-controller.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { FleetDelta } from '../fleet/fleet-delta.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { StorePosition } from '../fleet/store-position.js';
import { isAfter } from '../fleet/store-position.js';
import type { TargetLimitController } from '../limits/target-limit-controller.js';
import type { SuspectController } from '../suspects/suspect-controller.js';
import { encodeAccountUsage } from './account-rows.js';
import type { HostStatus, RequestRates } from './host-status.js';
import { encodeStatuses } from './host-status.js';
import type { InFlightCounts } from './in-flight.js';
import { encodeInFlightCounts } from './in-flight.js';
import { encodeLimits } from './limit-rows.js';
import type { ReportedLimits } from './limit-rows.js';
import { loadSource } from './load-source.js';
import type { PeerLoads } from './peer-loads.js';
import { DOMAIN_DIGEST_METHOD, FLEET_DIGEST_METHOD, REPORT_METHOD } from './peer-messages.js';
import type { PeerTable } from './peer-table.js';
import { encodeRows } from './rows.js';
import type { StoreConfirmations } from './store-confirmations.js';
import { encodeSuspects } from './suspect-rows.js';
import type { RegionSummary } from './fleet-summary.js';
import { encodeRegionSummaries, encodeIncarnationKeys, incarnationKey } from './fleet-summary.js';

/** Changes that a digest carries at most: some 200 bytes each, and a datagram is to stay small. */
const MAX_DIGEST_CHANGES = 12;

export interface MessageWriterOptions {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly peers: PeerTable;
  readonly loads: PeerLoads;
  readonly accounts: AccountLimitController;
  readonly limits: TargetLimitController;
  readonly suspects: SuspectController;
  readonly answers: StoreConfirmations;
  readonly own: EntryHostRecord;
  readonly isLeaving: () => boolean;
  /** Part of this host's time in which it has work, from 0 to 1. */
  readonly utilization: () => number;
  /** What this host's callers ask for. */
  readonly asked: () => RequestRates;
  /** When the store last answered this host itself, in monotonic milliseconds. */
  readonly storeAnsweredAt: () => number;
}

/** Writes what this host tells others: its report, and a relay's digests. */
export class MessageWriter {
  readonly #options: MessageWriterOptions;
  #sequence = 0;
  #inFlight: InFlightCounts = {};
  #usage: UsageByName = { used: {}, demand: {} };
  #recordedAnswerAt = -Infinity;

  constructor(options: MessageWriterOptions) {
    this.#options = options;
  }

  /** Whether this host had requests at targets when the report began. */
  get hasRequests(): boolean {
    return Object.keys(this.#inFlight).length > 0;
  }

  /** Begins a new report: what is written from now on tells of the present. */
  beginRound(): void {
    this.#sequence++;
    this.#inFlight = this.#options.loads.recordReport(this.#sequence);
    this.#usage = this.#options.accounts.report(this.#sequence);
    this.#options.limits.beginReport(this.#sequence);
    this.#recordStoreAnswer();
  }

  report(): string {
    const params = {
      statuses: encodeStatuses([this.#ownStatus()]),
      ...this.#commonFields(this.#inFlight, this.#usage),
      ...this.#limits(this.#options.limits.buildReport()),
      ...this.#suspects('own'),
    };
    return JSON.stringify(createJSONRPCNotification(REPORT_METHOD, params));
  }

  /**
   * A relay's digest of its own failure domain, for the others' relays.
   *
   * @param knownToAll - a change that all who get it know
   */
  domainDigest(knownToAll: StorePosition): string {
    const { loads, accounts, own } = this.#options;
    const inFlight = loads.sum(loadSource.isHost, this.#inFlight);
    const usage = accounts.usage.sum(loadSource.isHost, this.#usage);
    return this.#digest(DOMAIN_DIGEST_METHOD, knownToAll, {
      failureDomain: own.failureDomain,
      statuses: encodeStatuses(this.#ownDomainStatuses()),
      ...this.#commonFields(inFlight, usage),
      ...this.#limits(this.#options.limits.buildReport(loadSource.isHost)),
      ...this.#suspects('all'),
    });
  }

  /**
   * A relay's digest of the whole fleet, for its own failure domain.
   *
   * @param knownToAll - a change that all who get it know
   * @param tellsLoads - whether those who get it have requests, which they send by targets' loads
   */
  fleetDigest(knownToAll: StorePosition, tellsLoads: boolean): string {
    const { loads, accounts } = this.#options;
    const usage = accounts.usage.sum(loadSource.isPartial, this.#usage);
    const inFlight = tellsLoads
      ? loads.withoutIdle(loads.sum(loadSource.isPartial, this.#inFlight))
      : {};
    const counted = this.#counted(tellsLoads);
    return this.#digest(FLEET_DIGEST_METHOD, knownToAll, {
      absent: encodeIncarnationKeys(this.#absent()),
      regions: encodeRegionSummaries(this.#regions()),
      counted: encodeRows(counted),
      ...this.#commonFields(inFlight, usage),
      ...this.#limits(this.#options.limits.buildReport(loadSource.isPartial)),
      ...this.#suspects('all'),
    });
  }

  #digest(method: string, knownToAll: StorePosition, content: Record<string, unknown>): string {
    const news = this.#changesAfter(knownToAll);
    const params = {
      from: this.#options.own.name,
      ...content,
      ...(news === undefined ? {} : { news }),
    };
    return JSON.stringify(createJSONRPCNotification(method, params));
  }

  /** Registered hosts that take no callers, as this relay hears them. */
  #absent(): string[] {
    const { view, peers, own, isLeaving } = this.#options;
    const isServing = (host: EntryHostRecord): boolean =>
      host.name === own.name ? !isLeaving() : peers.isDirectlyServing(host);
    return view
      .records('entryHost')
      .flatMap(({ host }) => (isServing(host) ? [] : [incarnationKey(host)]));
  }

  /** What hosts of each region are busy with and what their callers ask for. */
  #regions(): Map<string, RegionSummary> {
    const { view, peers, own } = this.#options;
    const regions = new Map<string, { busyCores: number; asked: Record<string, number> }>();
    for (const { host } of view.records('entryHost')) {
      const status = host.name === own.name ? this.#ownStatus() : peers.get(host.name);
      const region = regions.get(host.region) ?? { busyCores: 0, asked: {} };
      regions.set(host.region, region);
      region.busyCores += (status?.utilization ?? 0) * host.capacity;
      for (const [service, rate] of Object.entries(status?.asked ?? {})) {
        region.asked[service] = (region.asked[service] ?? 0) + rate;
      }
    }
    return regions;
  }

  /**
   * The last reports of those hosts of the own domain that have requests of their own, or use targets' limits: what is told
   * of the whole is to be taken without their own part.
   */
  #counted(tellsLoads: boolean): [string, number][] {
    const { loads, limits } = this.#options;
    const hasLoads = ({ name }: HostStatus): boolean =>
      tellsLoads && loads.get(loadSource.host(name)) !== undefined;
    return this.#ownDomainStatuses()
      .filter((status) => hasLoads(status) || limits.hasReport(status))
      .map(({ name, sequence }) => [name, sequence]);
  }

  /** Nothing where no target names a limit. */
  #limits(told: ReportedLimits): Record<string, unknown> {
    const limits = encodeLimits(told);
    return limits === '' ? {} : { limits };
  }

  #commonFields(inFlight: InFlightCounts, usage: UsageByName): Record<string, unknown> {
    const { view, answers, own, accounts } = this.#options;
    const { newest } = answers;
    const accountRows = encodeAccountUsage(usage);
    return {
      controlAddress: own.controlAddress,
      lastChange: view.lastChange.revision,
      ...(view.epoch === 0 ? {} : { epoch: view.epoch }),
      ...(view.retainedDigest === undefined ? {} : { kept: view.retainedDigest }),
      ...(newest === undefined ? {} : { storeAnswer: newest }),
      inFlight: encodeInFlightCounts(inFlight),
      remembered: Math.round(accounts.historyMilliseconds),
      ...(accountRows === '' ? {} : { accounts: accountRows }),
    };
  }

  /** Nothing at rest. A relay passes on what it heard, any other host tells what it saw itself. */
  #suspects(which: 'own' | 'all'): Record<string, unknown> {
    const suspects = encodeSuspects(this.#options.suspects.table.report(which));
    return suspects === '' ? {} : { suspects };
  }

  #ownStatus(): HostStatus {
    const { own, isLeaving, utilization: busyShare, asked } = this.#options;
    const { name, incarnation } = own;
    return {
      name,
      incarnation,
      sequence: this.#sequence,
      leaving: isLeaving(),
      utilization: busyShare(),
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

  #changesAfter(position: StorePosition): FleetDelta | undefined {
    const { view } = this.#options;
    const delta = isAfter(view.lastChange, position) ? view.deltaSince(position) : undefined;
    const rows = (delta?.changes.length ?? 0) + (delta?.kept?.length ?? 0);
    return rows <= MAX_DIGEST_CHANGES ? delta : undefined;
  }

  /** A new answer of the store to this host itself goes out under the number of this report. */
  #recordStoreAnswer(): void {
    const { clock, view, answers, own, storeAnsweredAt } = this.#options;
    const answeredAt = storeAnsweredAt();
    if (answeredAt <= this.#recordedAnswerAt) {
      return;
    }
    this.#recordedAnswerAt = answeredAt;
    const { name, incarnation } = own;
    const ageMilliseconds = clock.now() - answeredAt;
    const { epoch, revision: lastChange } = view.lastChange;
    const sequence = this.#sequence;
    answers.record({ name, incarnation, sequence, lastChange, epoch, ageMilliseconds });
  }
}
