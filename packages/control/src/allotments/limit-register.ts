import type { DividedLimit, Position } from './position-layout.js';
import { divideLimit } from './position-layout.js';

interface Division {
  readonly parts: ReadonlyMap<number, number>;
  /** The list of positions that the sum was made for; the same list is asked for many times. */
  summedFor: readonly number[] | undefined;
  sum: number;
}

/**
 * Every divided limit of the configuration in force. A limit's division is worked out when it is
 * first asked for, since most daemons use few of them.
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

  /** Puts an account's limits in place of those it had before. */
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

  /** Positions that have a part of the limit. */
  sharers(key: string): number {
    return this.#divisionOf(key).parts.size;
  }

  /** Units of a limit that belong to the given positions. */
  unitsOf(key: string, positions: readonly number[]): number {
    const division = this.#divisionOf(key);
    if (division.summedFor !== positions) {
      division.summedFor = positions;
      division.sum = positions.reduce((sum, index) => sum + (division.parts.get(index) ?? 0), 0);
    }
    return division.sum;
  }

  #divisionOf(key: string): Division {
    const known = this.#divisions.get(key);
    if (known !== undefined) {
      return known;
    }
    const limit = this.#limits.get(key);
    const parts =
      limit === undefined ? new Map<number, number>() : divideLimit(limit, this.#positions);
    const division = { parts, summedFor: undefined, sum: 0 };
    this.#divisions.set(key, division);
    return division;
  }
}

/** Keys of limits read kind/account/…; the account never holds a slash. */
function accountOf(key: string): string {
  return key.split('/', 2)[1] ?? '';
}
