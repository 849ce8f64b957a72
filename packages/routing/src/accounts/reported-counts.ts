import type { Clock } from '@ferrylock/utils';
import type { CountsByName } from './account-quotas.js';

/**
 * Allowed drop of a count between reports, beyond which its source presumably lost its state:
 * standard deviations of random arrivals, plus a constant.
 */
const MAX_DEVIATIONS = 3;
const MAX_DROPPED_REQUESTS = 2;

/** Count that a source reported before it lost its state, and when it expires. */
interface LostCount {
  readonly value: number;
  readonly until: number;
}

/** Reports of one source. */
interface Source {
  counts: CountsByName;
  readonly lost: Map<string, LostCount>;
  reportedAt: number;
  /** Set when its process ended, so that no more requests are added. */
  isEnded: boolean;
}

/**
 * Counts of a sliding window as reported by several sources. Counts leave the window gradually, so
 * a source that suddenly reports far less has lost its state, as after a restart. Since the times
 * of the lost requests are unknown, they count for one more window, and so do those of a source
 * that ended. A silent source is presumed to continue as before for one window.
 */
export class ReportedCounts {
  readonly #clock: Clock;
  readonly #windowMilliseconds: number;
  readonly #sources = new Map<string, Source>();

  constructor(clock: Clock, windowMilliseconds: number) {
    this.#clock = clock;
    this.#windowMilliseconds = windowMilliseconds;
  }

  record(name: string, reported: CountsByName): void {
    const now = this.#clock.now();
    const source = this.#sources.get(name) ?? newSource(now);
    this.#sources.set(name, source);
    for (const account of Object.keys(source.counts)) {
      const previous = source.counts[account] ?? 0;
      const min = previous - MAX_DEVIATIONS * Math.sqrt(previous) - MAX_DROPPED_REQUESTS;
      if ((reported[account] ?? 0) < min && !source.lost.has(account)) {
        const until = source.reportedAt + this.#windowMilliseconds;
        source.lost.set(account, { value: previous, until });
      }
    }
    source.counts = reported;
    source.reportedAt = now;
    source.isEnded = false;
    for (const [account, { value, until }] of source.lost) {
      if (now >= until || (reported[account] ?? 0) >= value) {
        source.lost.delete(account);
      }
    }
  }

  /** Marks a source as ended: no requests are added to its last report. */
  markEnded(name: string): void {
    const source = this.#sources.get(name);
    if (source !== undefined) {
      source.isEnded = true;
    }
  }

  /** Last reported count of a source for an account. */
  lastReported(name: string, account: string): number {
    return this.#sources.get(name)?.counts[account] ?? 0;
  }

  /** Sums the counts of the selected sources by account. */
  sum(isSelected: (source: string) => boolean): Record<string, number> {
    const total: Record<string, number> = {};
    for (const [name, source] of this.#sources) {
      if (isSelected(name)) {
        const fraction = this.#remainingFraction(source);
        for (const account of accountsOf(source)) {
          total[account] = (total[account] ?? 0) + fraction * countOf(source, account);
        }
      }
    }
    return total;
  }

  /** Sums the counts of the selected sources for one account. */
  of(account: string, isSelected: (source: string) => boolean): number {
    let total = 0;
    for (const [name, source] of this.#sources) {
      const value = countOf(source, account);
      total += value > 0 && isSelected(name) ? value * this.#remainingFraction(source) : 0;
    }
    return total;
  }

  /** Removes sources that were silent for two windows. Called periodically. */
  sweep(): void {
    const oldest = this.#clock.now() - 2 * this.#windowMilliseconds;
    for (const [name, { reportedAt }] of this.#sources) {
      if (reportedAt < oldest) {
        this.#sources.delete(name);
      }
    }
  }

  /** Fraction of the last report of a source that still counts. */
  #remainingFraction({ reportedAt, isEnded }: Source): number {
    const silent = (this.#clock.now() - reportedAt) / this.#windowMilliseconds;
    if (silent <= 1) {
      return 1;
    }
    return isEnded ? 0 : Math.max(0, 2 - silent);
  }
}

function accountsOf({ counts, lost }: Source): Iterable<string> {
  const reported = Object.keys(counts);
  return lost.size === 0 ? reported : new Set([...reported, ...lost.keys()]);
}

function countOf({ counts, lost }: Source, account: string): number {
  return Math.max(counts[account] ?? 0, lost.get(account)?.value ?? 0);
}

function newSource(now: number): Source {
  return { counts: {}, lost: new Map(), reportedAt: now, isEnded: false };
}
