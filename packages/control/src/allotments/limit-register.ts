import type { DividedLimit, Position } from './position-layout.js';
import { divideLimit } from './position-layout.js';

interface Division {
  readonly shares: ReadonlyMap<number, number>;
  /** Position list that the cached sum applies to, compared by identity. */
  summedFor: readonly number[] | undefined;
  sum: number;
}

/**
 * Divided limits of the active configuration. Divisions are computed lazily, since most daemons use
 * few of the limits.
 */
export class LimitRegister {
  readonly #limits = new Map<string, DividedLimit>();
  readonly #divisions = new Map<string, Division>();
  #positions: readonly Position[] = [];

  get positions(): readonly Position[] {
    return this.#positions;
  }

  setPositions(positions: readonly Position[]): void {
    this.#positions = positions;
    this.#divisions.clear();
  }

  /** Replaces the limits of an account. */
  replace(account: string, limits: readonly DividedLimit[]): void {
    for (const key of [...this.#limits.keys()]) {
      if (accountOf(key) === account) {
        this.#limits.delete(key);
        this.#divisions.delete(key);
      }
    }
    for (const limit of limits) {
      this.#limits.set(limit.key, limit);
    }
  }

  get(key: string): DividedLimit | undefined {
    return this.#limits.get(key);
  }

  /** Number of positions with a share of the limit. */
  sharers(key: string): number {
    return this.#divisionOf(key).shares.size;
  }

  /** Units of a limit that belong to the given positions. */
  unitsOf(key: string, positions: readonly number[]): number {
    const division = this.#divisionOf(key);
    if (division.summedFor !== positions) {
      division.summedFor = positions;
      division.sum = positions.reduce((sum, index) => sum + (division.shares.get(index) ?? 0), 0);
    }
    return division.sum;
  }

  #divisionOf(key: string): Division {
    const cached = this.#divisions.get(key);
    if (cached !== undefined) {
      return cached;
    }
    const limit = this.#limits.get(key);
    const shares =
      limit === undefined ? new Map<number, number>() : divideLimit(limit, this.#positions);
    const division = { shares, summedFor: undefined, sum: 0 };
    this.#divisions.set(key, division);
    return division;
  }
}

/** Extracts the account from a limit key (kind/account/…); it contains no slash. */
function accountOf(key: string): string {
  return key.split('/', 2)[1] ?? '';
}
