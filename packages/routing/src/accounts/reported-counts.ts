import type { Clock } from '@ferrylock/utils';
import type { CountsByName } from './account-quotas.js';

/**
 * How far a count may fall at once before its source has rather forgotten: as many standard deviations of
 * arrivals by chance, and as many requests on top.
 */
const CHANCE_DEVIATIONS = 3;
const CHANCE_REQUESTS = 2;

/** What a source told before it forgot, and until when that is in the window. */
interface Forgotten {
  readonly value: number;
  readonly until: number;
}

/** What one source told. */
interface Source {
  counts: CountsByName;
  readonly forgotten: Map<string, Forgotten>;
  toldAt: number;
  /** Its process has ended: nothing comes on top. */
  isEnded: boolean;
}

/**
 * Counts of a sliding window, as several sources tell them. What was counted leaves the window as it came,
 * so that a source that tells far less at once has forgotten, as when another process speaks for it. When in
 * the window its requests came nobody knows, so all of them count for a whole window more; so do those of a
 * source that has ended. One that falls silent may go on as before, and is taken to for one window.
 */
export class ReportedCounts {
  readonly #clock: Clock;
  readonly #windowMilliseconds: number;
  readonly #sources = new Map<string, Source>();

  constructor(clock: Clock, windowMilliseconds: number) {
    this.#clock = clock;
    this.#windowMilliseconds = windowMilliseconds;
  }

  record(name: string, told: CountsByName): void {
    const now = this.#clock.now();
    const source = this.#sources.get(name) ?? newSource(now);
    this.#sources.set(name, source);
    for (const account of Object.keys(source.counts)) {
      const before = source.counts[account] ?? 0;
      const least = before - CHANCE_DEVIATIONS * Math.sqrt(before) - CHANCE_REQUESTS;
      if ((told[account] ?? 0) < least && !source.forgotten.has(account)) {
        const until = source.toldAt + this.#windowMilliseconds;
        source.forgotten.set(account, { value: before, until });
      }
    }
    source.counts = told;
    source.toldAt = now;
    source.isEnded = false;
    for (const [account, { value, until }] of source.forgotten) {
      if (now >= until || (told[account] ?? 0) >= value) {
        source.forgotten.delete(account);
      }
    }
  }

  /** A source's process has ended: nothing comes on top of what it told last. */
  markEnded(name: string): void {
    const source = this.#sources.get(name);
    if (source !== undefined) {
      source.isEnded = true;
    }
  }

  /** What a source told last of an account. */
  lastReported(name: string, account: string): number {
    return this.#sources.get(name)?.counts[account] ?? 0;
  }

  /** What all sources of a kind tell, by account. */
  sum(isCounted: (source: string) => boolean): Record<string, number> {
    const total: Record<string, number> = {};
    for (const [name, source] of this.#sources) {
      if (isCounted(name)) {
        const part = this.#partLeft(source);
        for (const account of accountsOf(source)) {
          total[account] = (total[account] ?? 0) + part * countOf(source, account);
        }
      }
    }
    return total;
  }

  /** What all sources of a kind tell of one account. */
  of(account: string, isCounted: (source: string) => boolean): number {
    let total = 0;
    for (const [name, source] of this.#sources) {
      const value = countOf(source, account);
      total += value > 0 && isCounted(name) ? value * this.#partLeft(source) : 0;
    }
    return total;
  }

  /** To be called now and then: forgets sources that have been silent for two windows. */
  sweep(): void {
    const oldest = this.#clock.now() - 2 * this.#windowMilliseconds;
    for (const [name, { toldAt }] of this.#sources) {
      if (toldAt < oldest) {
        this.#sources.delete(name);
      }
    }
  }

  /** Part of what a source told last that still counts. */
  #partLeft({ toldAt, isEnded }: Source): number {
    const silent = (this.#clock.now() - toldAt) / this.#windowMilliseconds;
    if (silent <= 1) {
      return 1;
    }
    return isEnded ? 0 : Math.max(0, 2 - silent);
  }
}

function accountsOf({ counts, forgotten }: Source): Iterable<string> {
  const told = Object.keys(counts);
  return forgotten.size === 0 ? told : new Set([...told, ...forgotten.keys()]);
}

function countOf({ counts, forgotten }: Source, account: string): number {
  return Math.max(counts[account] ?? 0, forgotten.get(account)?.value ?? 0);
}

function newSource(now: number): Source {
  return { counts: {}, forgotten: new Map(), toldAt: now, isEnded: false };
}
