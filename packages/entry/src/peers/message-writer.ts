import type { UsageByName } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import { createJSONRPCNotification } from 'json-rpc-2.0';
import type { AccountDuty } from '../accounts/account-duty.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { FleetDelta } from '../fleet/fleet-delta.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { StorePosition } from '../fleet/store-position.js';
import { isAfter } from '../fleet/store-position.js';
import type { LimitDuty } from '../limits/limit-duty.js';
import type { SuspectDuty } from '../suspects/suspect-duty.js';
import { encodeAccountUsage } from './account-rows.js';
import type { HostStatus, RequestRates } from './host-status.js';
import { encodeStatuses } from './host-status.js';
import type { InFlight } from './in-flight.js';
import { encodeInFlight } from './in-flight.js';
import { encodeLimits } from './limit-rows.js';
import type { ToldLimits } from './limit-rows.js';
import { loadSource } from './load-source.js';
import type { PeerLoads } from './peer-loads.js';
import { DIGEST_METHOD, FLEET_METHOD, REPORT_METHOD } from './peer-messages.js';
import type { PeerTable } from './peer-table.js';
import { encodeRows } from './rows.js';
import type { StoreAnswers } from './store-answers.js';
import { encodeSuspects } from './suspect-rows.js';
import type { ToldRegion } from './told-fleet.js';
import { encodeRegions, encodeStarts, startOf } from './told-fleet.js';

/** Changes that a digest carries at most: some 200 bytes each, and a datagram is to stay small. */
const MOST_NEWS = 12;

export interface MessageWriterOptions {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly peers: PeerTable;
  readonly loads: PeerLoads;
  readonly accounts: AccountDuty;
  readonly limits: LimitDuty;
  readonly suspects: SuspectDuty;
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

/** Writes what this host tells others: its report, and a relay's digests. */
export class MessageWriter {
  readonly #options: MessageWriterOptions;
  #sequence = 0;
  #inFlight: InFlight = {};
  #usage: UsageByName = { used: {}, asked: {} };
  #toldAnswerAt = -Infinity;

  constructor(options: MessageWriterOptions) {
    this.#options = options;
  }

  /** Whether this host had requests at targets when the report began. */
  get hasRequests(): boolean {
    return Object.keys(this.#inFlight).length > 0;
  }

  /** Begins a new report: what is written from now on tells of the present. */
  next(): void {
    this.#sequence++;
    this.#inFlight = this.#options.loads.report(this.#sequence);
    this.#usage = this.#options.accounts.report(this.#sequence);
    this.#options.limits.next(this.#sequence);
    this.#tellStoreAnswer();
  }

  report(): string {
    const params = {
      statuses: encodeStatuses([this.#ownStatus()]),
      ...this.#knowledge(this.#inFlight, this.#usage),
      ...this.#limits(this.#options.limits.tell()),
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
    return this.#digest(DIGEST_METHOD, knownToAll, {
      failureDomain: own.failureDomain,
      statuses: encodeStatuses(this.#ownDomainStatuses()),
      ...this.#knowledge(inFlight, usage),
      ...this.#limits(this.#options.limits.tell(loadSource.isHost)),
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
    const usage = accounts.usage.sum(loadSource.isPart, this.#usage);
    const inFlight = tellsLoads ? loads.onlyBusy(loads.sum(loadSource.isPart, this.#inFlight)) : {};
    const counted = this.#counted(tellsLoads);
    return this.#digest(FLEET_METHOD, knownToAll, {
      absent: encodeStarts(this.#absent()),
      regions: encodeRegions(this.#regions()),
      counted: encodeRows(counted),
      ...this.#knowledge(inFlight, usage),
      ...this.#limits(this.#options.limits.tell(loadSource.isPart)),
      ...this.#suspects('all'),
    });
  }

  #digest(method: string, knownToAll: StorePosition, content: Record<string, unknown>): string {
    const news = this.#newsAfter(knownToAll);
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
      host.name === own.name ? !isLeaving() : peers.hearsServing(host);
    return view
      .records('entryHost')
      .flatMap(({ host }) => (isServing(host) ? [] : [startOf(host)]));
  }

  /** What hosts of each region are busy with and what their callers ask for. */
  #regions(): Map<string, ToldRegion> {
    const { view, peers, own } = this.#options;
    const regions = new Map<string, { work: number; asked: Record<string, number> }>();
    for (const { host } of view.records('entryHost')) {
      const status = host.name === own.name ? this.#ownStatus() : peers.get(host.name);
      const region = regions.get(host.region) ?? { work: 0, asked: {} };
      regions.set(host.region, region);
      region.work += (status?.busyShare ?? 0) * host.capacity;
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
      tellsLoads && loads.of(loadSource.host(name)) !== undefined;
    return this.#ownDomainStatuses()
      .filter((status) => hasLoads(status) || limits.isTold(status))
      .map(({ name, sequence }) => [name, sequence]);
  }

  /** Nothing where no target names a limit. */
  #limits(told: ToldLimits): Record<string, unknown> {
    const limits = encodeLimits(told);
    return limits === '' ? {} : { limits };
  }

  #knowledge(inFlight: InFlight, usage: UsageByName): Record<string, unknown> {
    const { view, answers, own, accounts } = this.#options;
    const { newest } = answers;
    const accountRows = encodeAccountUsage(usage);
    return {
      controlAddress: own.controlAddress,
      lastChange: view.lastChange.revision,
      ...(view.epoch === 0 ? {} : { epoch: view.epoch }),
      ...(view.keptMark === undefined ? {} : { kept: view.keptMark }),
      ...(newest === undefined ? {} : { storeAnswer: newest }),
      inFlight: encodeInFlight(inFlight),
      remembered: Math.round(accounts.rememberedMilliseconds),
      ...(accountRows === '' ? {} : { accounts: accountRows }),
    };
  }

  /** Nothing at rest. A relay passes on what it heard, any other host tells what it saw itself. */
  #suspects(which: 'own' | 'all'): Record<string, unknown> {
    const suspects = encodeSuspects(this.#options.suspects.table.tell(which));
    return suspects === '' ? {} : { suspects };
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

  #newsAfter(position: StorePosition): FleetDelta | undefined {
    const { view } = this.#options;
    const delta = isAfter(view.lastChange, position) ? view.deltaAfter(position) : undefined;
    const rows = (delta?.changes.length ?? 0) + (delta?.kept?.length ?? 0);
    return rows <= MOST_NEWS ? delta : undefined;
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
    const { epoch, revision: lastChange } = view.lastChange;
    const sequence = this.#sequence;
    answers.take({ name, incarnation, sequence, lastChange, epoch, ageMilliseconds });
  }
}
