import { randomBytes } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const UNSIGNED_32_BIT_RANGE = 0x1_0000_0000;

/** Random number generator for load balancing and jitter. Not cryptographic. */
export interface Random {
  /** Number in [0, 1). */
  next(): number;
}

/** Deterministic generator for a given seed. */
export class SeededRandom implements Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  next(): number {
    return (this.#generator.next() >>> 0) / UNSIGNED_32_BIT_RANGE;
  }
}

/** Creates a generator seeded from system entropy. */
export function systemRandom(): Random {
  return new SeededRandom(randomBytes(4).readInt32LE());
}

/** Integer in [0, limit). */
export function randomIndex(random: Random, limit: number): number {
  return Math.floor(random.next() * limit);
}

/** Uniformly chosen item, or undefined if the list is empty. */
export function pickOne<T>(random: Random, items: readonly T[]): T | undefined {
  return items[randomIndex(random, items.length)];
}

/** Shuffled copy (Fisher-Yates). */
export function shuffled<T>(random: Random, items: readonly T[]): T[] {
  const copy = [...items];
  for (let last = copy.length - 1; last > 0; last--) {
    const other = randomIndex(random, last + 1);
    const moved = copy[last] as T;
    copy[last] = copy[other] as T;
    copy[other] = moved;
  }
  return copy;
}

/** Jittered interval between half and one and a half of its mean. */
export function jittered(random: Random, mean: number): number {
  return mean * (0.5 + random.next());
}
