import type { EntryHostRecord } from './fleet-record.js';

/**
 * Capacity relative to the largest host below which a host is small. Callers distribute requests
 * evenly over the hosts in a directory answer, so small hosts would be overloaded first.
 */
const SMALL_CAPACITY_RATIO = 0.5;

/** Hosts whose capacity is similar to that of the largest. */
export function largeHosts<T>(hosts: readonly T[], recordOf: (host: T) => EntryHostRecord): T[] {
  const largest = Math.max(0, ...hosts.map((host) => recordOf(host).capacity));
  return hosts.filter((host) => recordOf(host).capacity >= SMALL_CAPACITY_RATIO * largest);
}
