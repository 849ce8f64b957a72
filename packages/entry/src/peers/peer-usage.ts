import { ReportedCounts } from '@ferrylock/routing';
import type { UsageByName, UsageElsewhere } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import { addCounts, subtractCounts } from './counts.js';
import { loadSource } from './load-source.js';
import { PEER_TIMEOUT_MILLISECONDS } from './peer-table.js';
import { incarnationKey } from './fleet-summary.js';

/** Number of own reports kept, to subtract them from fleet totals that include them. */
const MAX_KEPT_REPORTS = 16;

/** Lifetime of cached sums over sources; far shorter than the delay of reports. */
const SUM_CACHE_MILLISECONDS = 50;

const NO_USAGE: UsageByName = { used: {}, demand: {} };

/** Last reported demand of a source. */
interface SourceDemand {
  readonly demand: UsageByName['demand'];
  readonly updatedAt: number;
}

/** Identifies one incarnation of a host. */
export type HostIncarnation = Pick<EntryHostRecord, 'name' | 'incarnation'>;

export interface PeerUsageOptions {
  readonly clock: Clock;
  readonly windowMilliseconds: number;
  /** Current usage of this host itself. */
  readonly own: () => UsageByName;
}

/**
 * Usage by other entry hosts of limits that the fleet shares: limits of accounts, or limits that
 * targets advertise. A source is a host, another failure domain, or the fleet.
 */
export class PeerUsage {
  readonly #options: PeerUsageOptions;
  readonly #used: ReportedCounts;
  readonly #demand = new Map<string, SourceDemand>();
  /** Source key of the last known incarnation, by host name. */
  readonly #sourceOfHost = new Map<string, string>();
  /** Cached sums by account or target. */
  readonly #others = new Map<string, UsageElsewhere & { readonly at: number }>();
  /** This host's last reports, by sequence number. */
  readonly #reported = new Map<number, UsageByName>();

  constructor(options: PeerUsageOptions) {
    this.#options = options;
    this.#used = new ReportedCounts(options.clock, options.windowMilliseconds);
  }

  /** Returns this host's current usage and keeps it under a report's sequence number. */
  recordReport(sequence: number): UsageByName {
    const usage = this.#options.own();
    this.#reported.set(sequence, usage);
    this.#reported.delete(sequence - MAX_KEPT_REPORTS);
    return usage;
  }

  /** Returns a host's source key; usage of a former incarnation counts for one more window. */
  sourceOf(host: HostIncarnation): string {
    const source = loadSource.host(incarnationKey(host));
    const previous = this.#sourceOfHost.get(host.name);
    if (previous !== undefined && previous !== source) {
      this.#end(previous);
    }
    this.#sourceOfHost.set(host.name, source);
    return source;
  }

  /** Returns whether a source last reported any demand. */
  hasDemand(source: string): boolean {
    return Object.keys(this.#demand.get(source)?.demand ?? {}).length > 0;
  }

  update(source: string, usage: UsageByName = NO_USAGE): void {
    this.#used.record(source, usage.used);
    this.#demand.set(source, { demand: usage.demand, updatedAt: this.#options.clock.now() });
  }

  /** Returns an account's requests in the window as a source last reported them. */
  usedOf(source: string, account: string): number {
    return this.#used.lastReported(source, account);
  }

  #end(source: string): void {
    this.#used.markEnded(source);
    this.#demand.delete(source);
  }

  /**
   * Applies fleet totals, less this host's own usage.
   *
   * @param sequence - the report of this host that the totals include
   */
  updateFromFleet(usage: UsageByName = NO_USAGE, sequence: number): void {
    const own = this.#reported.get(sequence) ?? NO_USAGE;
    this.update(loadSource.fleet, {
      used: subtractCounts(usage.used, own.used),
      demand: subtractCounts(usage.demand, own.demand),
    });
  }

  /** Sums the reports of the selected sources and `more`. */
  sum(isIncluded: (source: string) => boolean, more: UsageByName): UsageByName {
    const used = this.#used.sum(isIncluded);
    addCounts(used, more.used);
    const demand: Record<string, number> = { ...more.demand };
    for (const [source, reported] of this.#demand) {
      if (isIncluded(source)) {
        addCounts(demand, reported.demand);
      }
    }
    return { used, demand };
  }

  /**
   * Returns the usage of all other hosts, briefly cached. When this host becomes a relay or ceases
   * to be one, either the partial sums or the fleet total are stale; the larger one counts.
   */
  others(account: string): UsageElsewhere {
    const now = this.#options.clock.now();
    const cached = this.#others.get(account);
    if (cached !== undefined && now - cached.at < SUM_CACHE_MILLISECONDS) {
      return cached;
    }
    const summed = { ...this.#sumOthers(account), at: now };
    this.#others.set(account, summed);
    return summed;
  }

  #sumOthers(account: string): UsageElsewhere {
    const isFleet = (source: string): boolean => source === loadSource.fleet;
    return {
      used: Math.max(this.#used.of(account, loadSource.isPartial), this.#used.of(account, isFleet)),
      demandPerSecond: Math.max(
        this.#demandOf(account, loadSource.isPartial),
        this.#demandOf(account, isFleet),
      ),
    };
  }

  /** Drops sources that timed out; called a few times a second. */
  sweep(): void {
    this.#used.sweep();
    this.#evictSums();
    const oldest = this.#options.clock.now() - PEER_TIMEOUT_MILLISECONDS;
    for (const [source, { updatedAt }] of this.#demand) {
      if (updatedAt < oldest) {
        this.#demand.delete(source);
      }
    }
  }

  /** Evicts sums of names that are no longer in use, such as former target incarnations. */
  #evictSums(): void {
    const oldest = this.#options.clock.now() - this.#options.windowMilliseconds;
    for (const [name, { at }] of this.#others) {
      if (at < oldest) {
        this.#others.delete(name);
      }
    }
  }

  #demandOf(account: string, isIncluded: (source: string) => boolean): number {
    let total = 0;
    for (const [source, { demand }] of this.#demand) {
      total += isIncluded(source) ? (demand[account] ?? 0) : 0;
    }
    return total;
  }
}
