import type { Clock } from '@ferrylock/utils';
import type { AccountCounts } from './account-quotas.js';

/**
 * How far a count may fall at once before its source has rather forgotten: as many standard deviations of
 * arrivals by chance, and as many requests on top.
 */
const CHANCE_DEVIATIONS = 3;
const CHANCE_REQUESTS = 2;

/** A count as one source told it. */
interface Held {
  readonly value: number;
  /** While the source has forgotten: what it told before, and until when that is in the window. */
  readonly forgotten: { readonly value: number; readonly until: number } | undefined;
}

/** What one source told. */
interface Source {
  readonly counts: Map<string, Held>;
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
export class HeldCounts {
  readonly #clock: Clock;
  readonly #windowMilliseconds: number;
  readonly #sources = new Map<string, Source>();

  constructor(clock: Clock, windowMilliseconds: number) {
    this.#clock = clock;
    this.#windowMilliseconds = windowMilliseconds;
  }

  take(name: string, told: AccountCounts): void {
    const now = this.#clock.now();
    const source = this.#sources.get(name) ?? newSource(now);
    this.#sources.set(name, source);
    for (const account of new Set([...source.counts.keys(), ...Object.keys(told)])) {
      const held = this.#hold(source, account, told[account] ?? 0, now);
      if (held.value > 0) {
        source.counts.set(account, held);
      } else {
        source.counts.delete(account);
      }
    }
    source.toldAt = now;
    source.isEnded = false;
  }

  /** A source's process has ended: nothing comes on top of what it told last. */
  end(name: string): void {
    const source = this.#sources.get(name);
    if (source !== undefined) {
      source.isEnded = true;
    }
  }

  /** What a source told last. */
  lastOf(name: string): Record<string, number> {
    const counts = this.#sources.get(name)?.counts ?? new Map<string, Held>();
    return Object.fromEntries([...counts].map(([account, { value }]) => [account, value]));
  }

  /** What all sources of a kind tell, by account. */
  sum(isCounted: (source: string) => boolean): Record<string, number> {
    const total: Record<string, number> = {};
    for (const [name, source] of this.#sources) {
      if (isCounted(name)) {
        const part = this.#partLeft(source);
        for (const [account, { value }] of source.counts) {
          total[account] = (total[account] ?? 0) + part * value;
        }
      }
    }
    return total;
  }

  /** What all sources of a kind tell of one account. */
  of(account: string, isCounted: (source: string) => boolean): number {
    let total = 0;
    for (const [name, source] of this.#sources) {
      const value = source.counts.get(account)?.value ?? 0;
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

  #hold({ counts, toldAt }: Source, account: string, told: number, now: number): Held {
    const before = counts.get(account);
    if (before === undefined) {
      return { value: told, forgotten: undefined };
    }
    const least = before.value - CHANCE_DEVIATIONS * Math.sqrt(before.value) - CHANCE_REQUESTS;
    const isForgetting = before.forgotten !== undefined || told < least;
    if (!isForgetting) {
      return { value: told, forgotten: undefined };
    }
    const forgotten = before.forgotten ?? {
      value: before.value,
      until: toldAt + this.#windowMilliseconds,
    };
    const value = Math.max(told, now < forgotten.until ? forgotten.value : 0);
    return { value, forgotten: value > told ? forgotten : undefined };
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

function newSource(now: number): Source {
  return { counts: new Map(), toldAt: now, isEnded: false };
}
