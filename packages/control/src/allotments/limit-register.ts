import type { DividedLimit, Position } from './position-layout.js';
import { divideLimit } from './position-layout.js';

/**
 * Every divided limit of the configuration in force. A limit's division is worked out when it is
 * first asked for, since most daemons use few of them.
 */
export class LimitRegister {
  readonly #limits = new Map<string, DividedLimit>();
  readonly #parts = new Map<string, ReadonlyMap<number, number>>();
  #positions: readonly Position[] = [];

  get positions(): readonly Position[] {
    return this.#positions;
  }

  setPositions(positions: readonly Position[]): void {
    this.#positions = positions;
    this.#parts.clear();
  }

  /** Puts an account's limits in place of those it had before. */
  replace(account: string, limits: readonly DividedLimit[]): void {
    for (const key of [...this.#limits.keys()]) {
      if (accountOf(key) === account) {
        this.#limits.delete(key);
        this.#parts.delete(key);
      }
    }
    for (const limit of limits) {
      this.#limits.set(limit.key, limit);
    }
  }

  get(key: string): DividedLimit | undefined {
    return this.#limits.get(key);
  }

  /** Units of a limit that belong to the given positions. */
  unitsOf(key: string, positions: Iterable<number>): number {
    const parts = this.#partsOf(key);
    let units = 0;
    for (const position of positions) {
      units += parts.get(position) ?? 0;
    }
    return units;
  }

  #partsOf(key: string): ReadonlyMap<number, number> {
    const known = this.#parts.get(key);
    if (known !== undefined) {
      return known;
    }
    const limit = this.#limits.get(key);
    const parts = limit === undefined ? new Map() : divideLimit(limit, this.#positions);
    this.#parts.set(key, parts);
    return parts;
  }
}

/** Keys of limits read kind/account/…; the account never holds a slash. */
function accountOf(key: string): string {
  return key.split('/', 2)[1] ?? '';
}
