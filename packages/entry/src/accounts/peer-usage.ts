import { HeldCounts } from '@ferrylock/routing';
import type { AccountUsage, OthersUsage } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import { addCounts, withoutCounts } from '../peers/counts.js';
import { loadSource } from '../peers/load-source.js';
import { SILENCE_MILLISECONDS } from '../peers/peer-table.js';

/** Own reports that are kept until a relay has counted them in. */
const KEPT_REPORTS = 16;

/** A sum over sources holds for this long: far less than the time that news takes. */
const REMEMBERED_MILLISECONDS = 50;

const NOTHING: AccountUsage = { used: {}, asked: {} };

/** What a source asked for last. */
interface ToldAsked {
  readonly asked: AccountUsage['asked'];
  readonly toldAt: number;
}

export interface PeerUsageOptions {
  readonly clock: Clock;
  readonly windowMilliseconds: number;
  /** This host's own use now. */
  readonly own: () => AccountUsage;
}

/**
 * Use of accounts' limits by other entry hosts. It travels with what hosts tell of targets' loads, and like
 * there a source is a host, another failure domain, or the whole fleet.
 */
export class PeerUsage {
  readonly #options: PeerUsageOptions;
  readonly #used: HeldCounts;
  readonly #asked = new Map<string, ToldAsked>();
  /** Sums that were made a moment ago. */
  readonly #others = new Map<string, OthersUsage & { readonly at: number }>();
  /** This host's last reports, by their number. */
  readonly #reported = new Map<number, AccountUsage>();

  constructor(options: PeerUsageOptions) {
    this.#options = options;
    this.#used = new HeldCounts(options.clock, options.windowMilliseconds);
  }

  /** This host's own use now, to be reported under a number. */
  report(sequence: number): AccountUsage {
    const usage = this.#options.own();
    this.#reported.set(sequence, usage);
    this.#reported.delete(sequence - KEPT_REPORTS);
    return usage;
  }

  take(source: string, usage: AccountUsage = NOTHING): void {
    this.#used.take(source, usage.used);
    this.#asked.set(source, { asked: usage.asked, toldAt: this.#options.clock.now() });
  }

  /** Requests of an account's window that a source told last. */
  usedOf(source: string, account: string): number {
    return this.#used.lastOf(source, account);
  }

  /** A source's process has ended. */
  end(source: string): void {
    this.#used.end(source);
    this.#asked.delete(source);
  }

  /**
   * Takes what is told of the whole fleet, less this host's own part in it.
   *
   * @param sequence - the report of this host that is counted in
   */
  takeFleet(usage: AccountUsage = NOTHING, sequence: number): void {
    const own = this.#reported.get(sequence) ?? NOTHING;
    this.take(loadSource.fleet, {
      used: withoutCounts(usage.used, own.used),
      asked: withoutCounts(usage.asked, own.asked),
    });
  }

  /** What all sources of a kind told, together with more. */
  sum(isCounted: (source: string) => boolean, more: AccountUsage): AccountUsage {
    const used = this.#used.sum(isCounted);
    addCounts(used, more.used);
    const asked: Record<string, number> = { ...more.asked };
    for (const [source, told] of this.#asked) {
      if (isCounted(source)) {
        addCounts(asked, told.asked);
      }
    }
    return { used, asked };
  }

  /**
   * All other hosts together, as of a moment ago. Of a host that has just become a relay, or is one no longer,
   * the parts or the whole are old: the larger of the two counts.
   */
  others(account: string): OthersUsage {
    const now = this.#options.clock.now();
    const known = this.#others.get(account);
    if (known !== undefined && now - known.at < REMEMBERED_MILLISECONDS) {
      return known;
    }
    const summed = { ...this.#sumOthers(account), at: now };
    this.#others.set(account, summed);
    return summed;
  }

  #sumOthers(account: string): OthersUsage {
    const isFleet = (source: string): boolean => source === loadSource.fleet;
    return {
      used: Math.max(this.#used.of(account, loadSource.isPart), this.#used.of(account, isFleet)),
      askedPerSecond: Math.max(
        this.#askedOf(account, loadSource.isPart),
        this.#askedOf(account, isFleet),
      ),
    };
  }

  /** To be called a few times a second. */
  sweep(): void {
    this.#used.sweep();
    const oldest = this.#options.clock.now() - SILENCE_MILLISECONDS;
    for (const [source, { toldAt }] of this.#asked) {
      if (toldAt < oldest) {
        this.#asked.delete(source);
      }
    }
  }

  #askedOf(account: string, isCounted: (source: string) => boolean): number {
    let total = 0;
    for (const [source, { asked }] of this.#asked) {
      total += isCounted(source) ? (asked[account] ?? 0) : 0;
    }
    return total;
  }
}
