import type { UsageByName } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import { createJSONRPCNotification } from 'json-rpc-2.0';
import type { AccountLimitController } from '../accounts/account-limit-controller.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { StorePosition } from '../fleet/store-position.js';
import type { TargetLimitController } from '../limits/target-limit-controller.js';
import type { SuspectController } from '../suspects/suspect-controller.js';
import { encodeAccountUsage } from './account-rows.js';
import { DigestNews } from './digest-news.js';
import type { HostStatus, RequestRates } from './host-status.js';
import { encodeStatuses, withRates } from './host-status.js';
import type { InFlightCounts } from './in-flight.js';
import { encodeInFlightCounts } from './in-flight.js';
import { encodeLimits } from './limit-rows.js';
import type { ReportedLimits } from './limit-rows.js';
import { loadSource } from './load-source.js';
import {
  busiestFirst,
  inTurn,
  MessageSections,
  mostUsedFirst,
  mostUsedLimitsFirst,
} from './message-sections.js';
import type { OmittedRows } from './message-sections.js';
import type { PeerLoads } from './peer-loads.js';
import { DOMAIN_DIGEST_METHOD, FLEET_DIGEST_METHOD, REPORT_METHOD } from './peer-messages.js';
import type { PeerTable } from './peer-table.js';
import { encodeRows } from './rows.js';
import type { StoreConfirmations } from './store-confirmations.js';
import { encodeSuspects } from './suspect-rows.js';
import type { RegionSummary } from './fleet-summary.js';
import {
  encodeRegionSummaries,
  encodeIncarnationKeys,
  incarnationKey,
  withMainRates,
} from './fleet-summary.js';

export interface MessageWriterOptions {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly peers: PeerTable;
  readonly loads: PeerLoads;
  readonly accounts: AccountLimitController;
  readonly limits: TargetLimitController;
  readonly suspects: SuspectController;
  readonly confirmations: StoreConfirmations;
  readonly own: EntryHostRecord;
  readonly isLeaving: () => boolean;
  /** Whether this host reaches no target. */
  readonly reachesNone: () => boolean;
  /** Fraction of time that this host is busy, from 0 to 1. */
  readonly utilization: () => number;
  /** Demand of this host's callers. */
  readonly asked: () => RequestRates;
  /** Time of the store's last response to this host itself, in monotonic milliseconds. */
  readonly storeAnsweredAt: () => number;
  /** Called for each message from which rows were left out. */
  readonly onOmittedRows: (omitted: OmittedRows) => void;
}

/** Loads that a fleet digest carries. */
export type IncludedLoads = 'all' | 'none' | 'unchanged';

const NO_LOADS = { none: {}, unchanged: undefined } as const;

/** Builds this host's messages to peers: its reports and, on a relay, digests. */
export class MessageWriter {
  readonly #options: MessageWriterOptions;
  readonly #news: DigestNews;
  #sequence = 0;
  #inFlight: InFlightCounts = {};
  #usage: UsageByName = { used: {}, demand: {} };
  #recordedAnswerAt = -Infinity;

  constructor(options: MessageWriterOptions) {
    this.#options = options;
    this.#news = new DigestNews(options.view);
  }

  /** True if this host had requests in flight when the round began. */
  get hasRequests(): boolean {
    return Object.keys(this.#inFlight).length > 0;
  }

  /** Begins a new round: takes a snapshot of this host's state for its messages. */
  beginRound(): void {
    this.#sequence++;
    this.#inFlight = this.#options.loads.recordReport(this.#sequence);
    this.#usage = this.#options.accounts.report(this.#sequence);
    this.#options.limits.beginReport(this.#sequence);
    this.#recordStoreAnswer();
  }

  report(): string {
    const sections = new MessageSections();
    const params = {
      statuses: encodeStatuses([this.#ownStatus()]),
      ...this.#commonFields(sections, this.#inFlight, this.#usage),
      ...this.#limits(sections, this.#options.limits.buildReport()),
      ...this.#suspects(sections, 'own'),
    };
    return this.#encode(REPORT_METHOD, params, sections);
  }

  /**
   * Builds the digest of this failure domain for relays of other domains.
   *
   * @param lowestPosition - a position that all recipients have reached
   * @param includesLoads - whether to include loads; recipients keep those of the digest before
   */
  domainDigest(lowestPosition: StorePosition, includesLoads: boolean): string {
    const { loads, accounts, own } = this.#options;
    const inFlight = includesLoads ? loads.sum(loadSource.isHost, this.#inFlight) : undefined;
    const usage = accounts.usage.sum(loadSource.isHost, this.#usage);
    const sections = new MessageSections();
    const statuses = this.#ownDomainStatuses();
    const content = {
      failureDomain: own.failureDomain,
      statuses: sections.fit(
        'statuses',
        encodeStatuses(statuses),
        () => encodeStatuses(withRates(statuses, 'few')),
        () => encodeStatuses(withRates(statuses, 'none')),
        () => encodeStatuses(withRates(inTurn(statuses, this.#sequence), 'none')),
      ),
      ...this.#commonFields(sections, inFlight, usage),
      ...this.#limits(sections, this.#options.limits.buildReport(loadSource.isHost)),
      ...this.#suspects(sections, 'all'),
    };
    return this.#digest(DOMAIN_DIGEST_METHOD, lowestPosition, content, sections);
  }

  /**
   * Builds the digest of the whole fleet for members of this failure domain.
   *
   * @param lowestPosition - a position that all recipients have reached
   * @param which - whether to include loads, which only members with requests need; recipients keep
   *   those of the digest before if they are `unchanged`
   */
  fleetDigest(lowestPosition: StorePosition, which: IncludedLoads): string {
    const { loads, accounts } = this.#options;
    const usage = accounts.usage.sum(loadSource.isPartial, this.#usage);
    const inFlight =
      which === 'all'
        ? loads.withoutIdle(loads.sum(loadSource.isPartial, this.#inFlight))
        : NO_LOADS[which];
    const counted = this.#includedReports(which !== 'none');
    const sections = new MessageSections();
    const regions = this.#regionSummaries();
    const content = {
      absent: sections.fit('absent', encodeIncarnationKeys(this.#absentHosts())),
      ...this.#reachingNone(sections),
      regions: sections.fit('regions', encodeRegionSummaries(regions), () =>
        encodeRegionSummaries(withMainRates(regions)),
      ),
      counted: sections.fit('counted', encodeRows(counted), () =>
        encodeRows(inTurn(counted, this.#sequence)),
      ),
      ...this.#commonFields(sections, inFlight, usage),
      ...this.#limits(sections, this.#options.limits.buildReport(loadSource.isPartial)),
      ...this.#suspects(sections, 'all'),
    };
    return this.#digest(FLEET_DIGEST_METHOD, lowestPosition, content, sections);
  }

  #digest(
    method: string,
    lowestPosition: StorePosition,
    content: Record<string, unknown>,
    sections: MessageSections,
  ): string {
    const news = this.#news.after(lowestPosition);
    const params = {
      from: this.#options.own.name,
      ...content,
      ...(news === undefined ? {} : { news }),
    };
    return this.#encode(method, params, sections);
  }

  #encode(method: string, params: object, { omitted }: MessageSections): string {
    const isWhole = Object.keys(omitted).length === 0;
    if (!isWhole) {
      this.#options.onOmittedRows(omitted);
    }
    return JSON.stringify(
      createJSONRPCNotification(method, { ...params, ...(isWhole ? {} : { omitted }) }),
    );
  }

  /** Registered hosts that are dead or leaving. */
  #absentHosts(): string[] {
    const { peers, own, isLeaving } = this.#options;
    const isPresent = (host: EntryHostRecord): boolean =>
      host.name === own.name
        ? !isLeaving()
        : peers.isDirectlyServing(host) || peers.isReachingNone(host);
    return this.#hostKeys((host) => !isPresent(host));
  }

  /** Hosts that reach no target; empty if there is none, as nearly always. */
  #reachingNone(sections: MessageSections): Record<string, unknown> {
    const { peers, own, isLeaving, reachesNone } = this.#options;
    const keys = this.#hostKeys((host) =>
      host.name === own.name ? reachesNone() && !isLeaving() : peers.isReachingNone(host),
    );
    const reachingNone = sections.fit('reachingNone', encodeIncarnationKeys(keys));
    return reachingNone === '' ? {} : { reachingNone };
  }

  /** Keys of registered hosts; those of this region first. */
  #hostKeys(isIncluded: (host: EntryHostRecord) => boolean): string[] {
    const { view, own } = this.#options;
    const hosts = view.records('entryHost').flatMap(({ host }) => (isIncluded(host) ? [host] : []));
    const isOwnRegion = ({ region }: EntryHostRecord): boolean => region === own.region;
    const others = hosts.filter((host) => !isOwnRegion(host));
    return [...hosts.filter(isOwnRegion), ...others].map(incarnationKey);
  }

  /** Busy cores and demand of each region. */
  #regionSummaries(): Map<string, RegionSummary> {
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
   * Latest reports that the totals include, for hosts of this domain with requests or usage of
   * target limits; these subtract their own part.
   */
  #includedReports(includesLoads: boolean): [string, number][] {
    const { loads, limits } = this.#options;
    const hasLoads = ({ name }: HostStatus): boolean =>
      includesLoads && loads.get(loadSource.host(name)) !== undefined;
    return this.#ownDomainStatuses()
      .filter((status) => hasLoads(status) || limits.hasReport(status))
      .map(({ name, sequence }) => [name, sequence]);
  }

  /** Empty where no target advertises a limit. */
  #limits(sections: MessageSections, reported: ReportedLimits): Record<string, unknown> {
    const limits = sections.fit('limits', encodeLimits(reported), () =>
      encodeLimits(mostUsedLimitsFirst(reported)),
    );
    return limits === '' ? {} : { limits };
  }

  #commonFields(
    sections: MessageSections,
    inFlight: InFlightCounts | undefined,
    usage: UsageByName,
  ): Record<string, unknown> {
    const { view, confirmations, own, accounts } = this.#options;
    const { newest } = confirmations;
    const accountRows = sections.fit('accounts', encodeAccountUsage(usage), () =>
      encodeAccountUsage(mostUsedFirst(usage)),
    );
    return {
      controlAddress: own.controlAddress,
      lastChange: view.lastChange.revision,
      ...(view.epoch === 0 ? {} : { epoch: view.epoch }),
      ...(view.retainedDigest === undefined ? {} : { kept: view.retainedDigest }),
      ...(newest === undefined ? {} : { storeAnswer: newest }),
      ...(inFlight === undefined ? {} : this.#loads(sections, inFlight)),
      remembered: Math.round(accounts.historyMilliseconds),
      ...(accountRows === '' ? {} : { accounts: accountRows }),
    };
  }

  #loads(sections: MessageSections, inFlight: InFlightCounts): Record<string, unknown> {
    return {
      inFlight: sections.fit('inFlight', encodeInFlightCounts(inFlight), () =>
        encodeInFlightCounts(busiestFirst(inFlight)),
      ),
    };
  }

  /** A relay passes on all suspects, any other host reports only those that it saw itself. */
  #suspects(sections: MessageSections, which: 'own' | 'all'): Record<string, unknown> {
    const rows = encodeSuspects(this.#options.suspects.table.report(which));
    const suspects = sections.fit('suspects', rows);
    return suspects === '' ? {} : { suspects };
  }

  #ownStatus(): HostStatus {
    const { own, isLeaving, reachesNone, utilization, asked } = this.#options;
    const { name, incarnation } = own;
    return {
      name,
      incarnation,
      sequence: this.#sequence,
      leaving: isLeaving(),
      reachesNone: reachesNone(),
      utilization: utilization(),
      asked: asked(),
    };
  }

  /** Statuses of this host and of the live hosts of its domain. */
  #ownDomainStatuses(): HostStatus[] {
    const { peers, view, own } = this.#options;
    const hosts = view.records('entryHost').map(({ host }) => host);
    const domains = new Map(hosts.map(({ name, failureDomain }) => [name, failureDomain]));
    const members = peers.alive.filter(({ name }) => domains.get(name) === own.failureDomain);
    return [this.#ownStatus(), ...members];
  }

  /** Records a new response of the store to this host under the sequence number of this round. */
  #recordStoreAnswer(): void {
    const { clock, view, confirmations, own, storeAnsweredAt } = this.#options;
    const answeredAt = storeAnsweredAt();
    if (answeredAt <= this.#recordedAnswerAt) {
      return;
    }
    this.#recordedAnswerAt = answeredAt;
    const { name, incarnation } = own;
    const ageMilliseconds = clock.now() - answeredAt;
    const { epoch, revision: lastChange } = view.lastChange;
    const sequence = this.#sequence;
    confirmations.record({ name, incarnation, sequence, lastChange, epoch, ageMilliseconds });
  }
}
