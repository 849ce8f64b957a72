import { AccountQuotas, unaccountedShare } from '@ferrylock/routing';
import type {
  UsageByName,
  ClientAccount,
  FleetDemand,
  PeerVisibility,
  QuotaPolicy,
  QuotaRefusal,
} from '@ferrylock/routing';
import type { Clock, Random } from '@ferrylock/utils';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import { largeHosts } from '../fleet/large-hosts.js';
import { PeerUsage } from '../peers/peer-usage.js';
import type { HostIncarnation } from '../peers/peer-usage.js';

/**
 * Minimum time between the end of a process and the first request of the next one. No request ran
 * at this host meanwhile, although the new process has no history.
 */
const MIN_DOWNTIME_MILLISECONDS = 1_000;
/** Share of live registered hosts below which this host is considered to be partitioned. */
const MIN_ALIVE_SHARE = 0.5;
/**
 * Divisor of an isolated host's share of a limit. Isolated hosts, large and small ones together,
 * may use two such shares of a window, so that a restarting half of a fleet stays within the
 * overage.
 */
const ISOLATED_DIVISOR = 3;
/** Interval between two checks of live hosts while most are alive; hosts time out later. */
const CHECK_MILLISECONDS = 1_000;
/** Share of an account's limit from which a surge is reported to peers immediately. */
const SURGE_LIMIT_SHARE = 0.65;
/**
 * Growth of an account's usage, as a share of its limit, that counts as a surge. At the limit's own
 * rate usage grows less between two regular reports.
 */
const SURGE_GROWTH_SHARE = 0.045;
/**
 * Number of requests added to that growth, because usage of small accounts fluctuates by chance and
 * would trigger more reports than the regular rounds.
 */
const SURGE_GROWTH_REQUESTS = 10;

/** Minimum interval between two reports of a surge. */
const MIN_SURGE_INTERVAL_MILLISECONDS = 100;

export interface AccountLimitControllerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly bound: QuotaPolicy;
  readonly ownName: string;
  /** True if the deployment starts for the first time, so that there is no earlier usage. */
  readonly isFirstStart: boolean;
  /** Registered hosts; the same array until the set changes. */
  readonly hosts: () => readonly EntryHostRecord[];
  readonly isAlive: (host: EntryHostRecord) => boolean;
  /** Called when an account's usage grows too fast for regular reports. */
  readonly onSurge: () => void;
}

/** Enforces the limits of client accounts, using the usage that other hosts report. */
export class AccountLimitController {
  readonly quotas: AccountQuotas;
  readonly usage: PeerUsage;
  readonly #options: AccountLimitControllerOptions;
  /** Usage of accounts by the whole fleet at this host's last report. */
  readonly #reportedTotal = new Map<string, number>();
  #surgeReportedAt = -Infinity;
  /** Monotonic time since which some live host knows the usage history. */
  #historySince: number;
  #seesMostHosts = false;
  #checkedAt = -Infinity;
  #isolatedShareOf: readonly EntryHostRecord[] | undefined;
  /** Monotonic time of the last report while most other hosts were alive. */
  #peerReportAt = -Infinity;
  #isolatedShare = 0;

  constructor(options: AccountLimitControllerOptions) {
    this.#options = options;
    const { clock, bound } = options;
    this.#historySince = options.isFirstStart ? -Infinity : clock.now();
    this.usage = new PeerUsage({
      clock,
      windowMilliseconds: bound.windowMilliseconds,
      own: () => this.quotas.usage,
    });
    this.quotas = new AccountQuotas({
      ...options,
      usageElsewhere: (account) => this.usage.others(account),
      visibility: () => this.#visibility,
    });
    this.sweep();
  }

  /** Demand of all accounts over all hosts. */
  get fleetDemand(): FleetDemand {
    return {
      accounts: this.quotas.demands,
      ageMilliseconds: this.#visibility.peerReportAgeMilliseconds,
    };
  }

  /** Length of the usage history known to some live host; at most one window. */
  get historyMilliseconds(): number {
    const { clock, bound } = this.#options;
    return Math.min(bound.windowMilliseconds, clock.now() - this.#historySince);
  }

  /** Charges a request to an account, or returns why it is refused. */
  acquire(account: ClientAccount): QuotaRefusal | undefined {
    const refusal = this.quotas.acquire(account);
    if (refusal === undefined) {
      this.#reportSurge(account.name);
    }
    return refusal;
  }

  /** Corrects the charge of an admitted request to its actual number of runs. */
  settle(account: ClientAccount, runs: number): void {
    this.quotas.recordRuns(account, runs);
  }

  /** Merges the report of a host about itself. */
  mergeHostReport(
    host: HostIncarnation,
    report: UsageByName | undefined,
    historyMilliseconds: number,
  ): void {
    this.mergeReport(this.usage.sourceOf(host), report, historyMilliseconds);
  }

  /** Merges the report of a source. */
  mergeReport(source: string, report: UsageByName | undefined, historyMilliseconds: number): void {
    const grown = Object.entries(report?.used ?? {}).filter(
      ([account, used]) => used > this.usage.usedOf(source, account) + 1,
    );
    this.usage.update(source, report);
    this.#recordPeerReport(historyMilliseconds);
    for (const [account] of grown) {
      this.#reportSurge(account);
    }
  }

  /** Merges a relay's report on the whole fleet. */
  mergeFleetReport(
    report: UsageByName | undefined,
    sequence: number,
    historyMilliseconds: number,
  ): void {
    this.usage.updateFromFleet(report, sequence);
    this.#recordPeerReport(historyMilliseconds);
  }

  /** Returns this host's usage for the report with a sequence number. */
  report(sequence: number): UsageByName {
    const usage = this.usage.recordReport(sequence);
    this.#reportedTotal.clear();
    for (const account of Object.keys(usage.used)) {
      this.#reportedTotal.set(account, this.#totalOf(account));
    }
    return usage;
  }

  /** Checks which hosts are alive; call a few times per second. */
  sweep(): void {
    const { clock, hosts, ownName, isAlive } = this.#options;
    const now = clock.now();
    this.usage.sweep();
    const isRecent = this.#seesMostHosts && now - this.#checkedAt < CHECK_MILLISECONDS;
    if (!this.quotas.hasLimits || isRecent) {
      return;
    }
    this.#checkedAt = now;
    const registered = hosts();
    const others = registered.filter(({ name }) => name !== ownName);
    const alive = others.filter((host) => isAlive(host)).length;
    this.#seesMostHosts = alive + 1 >= MIN_ALIVE_SHARE * (others.length + 1);
  }

  /** Share of a limit that this host may use while it is isolated. */
  #isolatedShareAmong(registered: readonly EntryHostRecord[]): number {
    if (registered === this.#isolatedShareOf) {
      return this.#isolatedShare;
    }
    this.#isolatedShareOf = registered;
    const large = largeHosts(registered, (host) => host);
    const isLarge = large.some(({ name }) => name === this.#options.ownName);
    const hosts = isLarge ? large.length : registered.length;
    this.#isolatedShare = 1 / (ISOLATED_DIVISOR * Math.max(1, hosts));
    return this.#isolatedShare;
  }

  get #visibility(): PeerVisibility {
    const { clock, bound, hosts, ownName } = this.#options;
    const { windowMilliseconds } = bound;
    const registered = hosts();
    const isAlone = registered.every(({ name }) => name === ownName);
    const known = this.historyMilliseconds + MIN_DOWNTIME_MILLISECONDS;
    return {
      isAlone,
      peerReportAgeMilliseconds: isAlone ? 0 : clock.now() - this.#peerReportAt,
      isolatedShare: this.#isolatedShareAmong(registered),
      unaccountedShare: unaccountedShare(known, windowMilliseconds),
    };
  }

  #recordPeerReport(historyMilliseconds: number): void {
    const now = this.#options.clock.now();
    this.#peerReportAt = this.#seesMostHosts ? now : this.#peerReportAt;
    const historySince = now - historyMilliseconds;
    this.#historySince = Math.min(this.#historySince, historySince);
  }

  /** Requests an immediate report if an account's usage surges near its limit. */
  #reportSurge(account: string): void {
    const limit = this.quotas.limitOf(account);
    const now = this.#options.clock.now();
    if (limit === undefined || now - this.#surgeReportedAt < MIN_SURGE_INTERVAL_MILLISECONDS) {
      return;
    }
    const total = this.#totalOf(account);
    const reported = this.#reportedTotal.get(account) ?? total;
    this.#reportedTotal.set(account, reported);
    if (
      total > SURGE_LIMIT_SHARE * limit &&
      total - reported > SURGE_GROWTH_REQUESTS + SURGE_GROWTH_SHARE * limit
    ) {
      this.#surgeReportedAt = now;
      this.#options.onSurge();
    }
  }

  #totalOf(account: string): number {
    return this.usage.others(account).used + (this.quotas.usedBy(account) ?? 0);
  }
}
