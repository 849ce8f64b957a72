import { createHash } from 'node:crypto';
import murmurhash from 'murmurhash';

/** A 32-bit hash that is the same in every process and release. Not for secrets. */
export function stableHash(text: string): number {
  return murmurhash.v3(text);
}

/**
 * A 32-bit hash of two hashes, the same in every process. Ranking hundreds of members for each of
 * hundreds of keys by the hash of a joined text takes 15 times as long in a fresh process.
 */
export function combineHashes(one: number, other: number): number {
  let hash = one ^ Math.imul(other, 0x9e37_79b1);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85eb_ca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2_ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Ranks members for a key by rendezvous hashing, highest first. Every process that knows the same
 * members gets the same order without a word exchanged, and a member's coming or going moves only
 * the keys that it gains or loses.
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

/** Hexadecimal SHA-256, for digests of documents and stored credentials. */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
