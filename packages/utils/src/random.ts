import { randomBytes } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const UNSIGNED_32_BIT_RANGE = 0x1_0000_0000;

/** Random numbers for choices and jitter. Nothing secret is drawn from it. */
export interface Random {
  /** A number from 0 up to but not including 1. */
  next(): number;
}

/** Random numbers that repeat for the same seed. */
export class SeededRandom implements Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  next(): number {
    return (this.#generator.next() >>> 0) / UNSIGNED_32_BIT_RANGE;
  }
}

/** A generator seeded from the system's entropy, for a running daemon. */
export function systemRandom(): Random {
  return new SeededRandom(randomBytes(4).readInt32LE());
}

/** A whole number from 0 up to but not including the limit. */
export function randomIndex(random: Random, limit: number): number {
  return Math.floor(random.next() * limit);
}

/** One item drawn evenly, or undefined from an empty list. */
export function pickOne<T>(random: Random, items: readonly T[]): T | undefined {
  return items[randomIndex(random, items.length)];
}

/** A copy in random order (Fisher-Yates). */
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

/** A wait spread evenly over half to one and a half of its mean, so that peers do not fall in step. */
export function jittered(random: Random, mean: number): number {
  return mean * (0.5 + random.next());
}
