import { createHash } from 'node:crypto';
import murmurhash from 'murmurhash';

/** Stable 32-bit hash: the same in every process and release. Not cryptographic. */
export function stableHash(text: string): number {
  return murmurhash.v3(text);
}

const HASH_RANGE = 0x1_0000_0000;

/** {@link stableHash} as a position from 0 (inclusive) to 1 (exclusive). */
export function stablePosition(text: string): number {
  return stableHash(text) / HASH_RANGE;
}

/**
 * Combines two 32-bit hashes into one. Faster than hashing a concatenated string when many members
 * are ranked for many keys.
 */
export function combineHashes(one: number, other: number): number {
  let hash = one ^ Math.imul(other, 0x9e37_79b1);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85eb_ca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2_ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Ranks members for a key by rendezvous hashing, highest first. All processes with the same members
 * compute the same order, and adding or removing a member moves only the keys that it gains or
 * loses.
 */
export function rendezvousRank<T>(
  key: string,
  members: readonly T[],
  identify: (member: T) => string,
): T[] {
  return members
    .map((member) => ({
      member,
      id: identify(member),
      weight: stableHash(`${key} ${identify(member)}`),
    }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map((entry) => entry.member);
}

/** Hexadecimal SHA-256 digest. */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
