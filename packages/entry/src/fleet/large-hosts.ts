import type { EntryHostRecord } from './fleet-record.js';

/**
 * A host that carries less than this part of what the largest does is a small one. Callers spread
 * evenly over the hosts that they are told: beside large ones, small ones would be full first.
 */
const SMALL_SHARE = 0.5;

/** The hosts that carry about as much as the largest of them; all where they are alike. */
export function largeHosts<T>(hosts: readonly T[], recordOf: (host: T) => EntryHostRecord): T[] {
  const largest = Math.max(0, ...hosts.map((host) => recordOf(host).capacity));
  return hosts.filter((host) => recordOf(host).capacity >= SMALL_SHARE * largest);
}
