import { stableHash } from '@ferrylock/utils';

const HASH_RANGE = 2 ** 32;

/**
 * The rank of a task from 0 to 1, by its name alone: every daemon gives all requests of a task the
 * same one. After the user priority of DAGOR (Zhou et al., SoCC 2018, 4.2.2), which hashes users.
 */
export function taskRank(task: string): number {
  return stableHash(task) / HASH_RANGE;
}
