import { ReportedCounts } from '@ferrylock/routing';
import type { UsageByName, UsageElsewhere } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import { addCounts, subtractCounts } from './counts.js';
import { loadSource } from './load-source.js';
import { PEER_TIMEOUT_MILLISECONDS } from './peer-table.js';
import { incarnationKey } from './fleet-summary.js';

/** Own reports that are kept until a relay has counted them in. */
const KEPT_REPORTS = 16;

/** A sum over sources holds for this long: far less than the time that news takes. */
const SUM_CACHE_MILLISECONDS = 50;

const NO_USAGE: UsageByName = { used: {}, demand: {} };

/** What a source asked for last. */
interface SourceDemand {
  readonly asked: UsageByName['demand'];
  readonly updatedAt: number;
}

/** Names one start of a host. */
export type HostIncarnation = Pick<EntryHostRecord, 'name' | 'incarnation'>;

export interface PeerUsageOptions {
  readonly clock: Clock;
  readonly windowMilliseconds: number;
  /** This host's own use now. */
  readonly own: () => UsageByName;
}

/**
 * Use of limits that all entry hosts share, by the other ones: of accounts' limits, or of those that targets name. It travels
 * with what hosts tell of targets' loads, and like there a source is a host, another failure domain, or the whole fleet.
 */
export class PeerUsage {
  readonly #options: PeerUsageOptions;
  readonly #used: ReportedCounts;
  readonly #asked = new Map<string, SourceDemand>();
  /** The last start of each host that told of itself. */
  readonly #sourceOfHost = new Map<string, string>();
  /** Sums that were made a moment ago. */
  readonly #others = new Map<string, UsageElsewhere & { readonly at: number }>();
  /** This host's last reports, by their number. */
  readonly #reported = new Map<number, UsageByName>();

  constructor(options: PeerUsageOptions) {
    this.#options = options;
    this.#used = new ReportedCounts(options.clock, options.windowMilliseconds);
  }

  /** This host's own use now, to be reported under a number. */
  recordReport(sequence: number): UsageByName {
    const usage = this.#options.own();
    this.#reported.set(sequence, usage);
    this.#reported.delete(sequence - KEPT_REPORTS);
    return usage;
  }

  /** How a host's present process is named as a source. What its former one used counts for a window more. */
  sourceOf(start: HostIncarnation): string {
    const source = loadSource.host(incarnationKey(start));
    const before = this.#sourceOfHost.get(start.name);
    if (before !== undefined && before !== source) {
      this.#end(before);
    }
    this.#sourceOfHost.set(start.name, source);
    return source;
  }

  /** Whether a source told of any use. */
  hasDemand(source: string): boolean {
    return Object.keys(this.#asked.get(source)?.asked ?? {}).length > 0;
  }

  update(source: string, usage: UsageByName = NO_USAGE): void {
    this.#used.record(source, usage.used);
    this.#asked.set(source, { asked: usage.demand, updatedAt: this.#options.clock.now() });
  }

  /** Requests of an account's window that a source told last. */
  usedOf(source: string, account: string): number {
    return this.#used.lastReported(source, account);
  }

  #end(source: string): void {
    this.#used.markEnded(source);
    this.#asked.delete(source);
  }

  /**
   * Takes what is told of the whole fleet, less this host's own part in it.
   *
   * @param sequence - the report of this host that is counted in
   */
  updateFromFleet(usage: UsageByName = NO_USAGE, sequence: number): void {
    const own = this.#reported.get(sequence) ?? NO_USAGE;
    this.update(loadSource.fleet, {
      used: subtractCounts(usage.used, own.used),
      demand: subtractCounts(usage.demand, own.demand),
    });
  }

  /** What all sources of a kind told, together with more. */
  sum(isCounted: (source: string) => boolean, more: UsageByName): UsageByName {
    const used = this.#used.sum(isCounted);
    addCounts(used, more.used);
    const asked: Record<string, number> = { ...more.demand };
    for (const [source, told] of this.#asked) {
      if (isCounted(source)) {
        addCounts(asked, told.asked);
      }
    }
    return { used, demand: asked };
  }

  /**
   * All other hosts together, as of a moment ago. Of a host that has just become a relay, or is one no longer,
   * the parts or the whole are old: the larger of the two counts.
   */
  others(account: string): UsageElsewhere {
    const now = this.#options.clock.now();
    const known = this.#others.get(account);
    if (known !== undefined && now - known.at < SUM_CACHE_MILLISECONDS) {
      return known;
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

  /** To be called a few times a second. */
  sweep(): void {
    this.#used.sweep();
    this.#evictSums();
    const oldest = this.#options.clock.now() - PEER_TIMEOUT_MILLISECONDS;
    for (const [source, { updatedAt: toldAt }] of this.#asked) {
      if (toldAt < oldest) {
        this.#asked.delete(source);
      }
    }
  }

  /** Names come and go with starts of targets. */
  #evictSums(): void {
    const oldest = this.#options.clock.now() - this.#options.windowMilliseconds;
    for (const [name, { at }] of this.#others) {
      if (at < oldest) {
        this.#others.delete(name);
      }
    }
  }

  #demandOf(account: string, isCounted: (source: string) => boolean): number {
    let total = 0;
    for (const [source, { asked }] of this.#asked) {
      total += isCounted(source) ? (asked[account] ?? 0) : 0;
    }
    return total;
  }
}
