import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Mechanisms that can be disabled to measure their effect (`--without=NAME,...`). */
export const MECHANISMS = [
  /** Serves a share of the keys of a region on its own targets, up to their capacity. */
  'keys-at-home',
  /** Adapts that share to the demand of each region as reported by entry hosts. */
  'measured-demand',
  /** Allows a second target of the region for each key. */
  'second-copy',
  /** Sends a request to another region where the object is cached, rather than let it wait. */
  'other-regions',
  /** Uses the load that targets report in responses. */
  'told-load',
  /** Counts the requests that other entry hosts have in flight at a target. */
  'peer-load',
  /** Ejects failing targets for a while. */
  'ejection',
  /** Sends nothing to a target until the end of a rest that it asked of this host. */
  'rest',
  /** Keeps the requests of all hosts within the limit that a target advertises. */
  'limit',
  /** Applies limits that other hosts received. */
  'told-limits',
  /** Refuses accounts beyond their part first while a service is short of room. */
  'fair-parts',
  /** Reads all requests that wait before work on one starts, and refuses those that come too late. */
  'request-queue',
  /** Leads callers to other regions while the hosts of their own are short of processor time. */
  'region-overflow',
  /** Starts a new epoch with later revisions when the store was restored from a snapshot. */
  'store-lives',
  /** Keeps records that such a store lacks until they are written again. */
  'kept-records',
  /** Lets a few hosts reload all records and report them to the others. */
  'reading-in-turns',
] as const;

export type Mechanism = (typeof MECHANISMS)[number];

/** Set of disabled mechanisms. */
export type DisabledMechanisms = ReadonlySet<Mechanism>;

export const NO_DISABLED_MECHANISMS: DisabledMechanisms = new Set();

/** Parses comma-separated names; the error for an unknown name lists all mechanisms. */
export function parseDisabledMechanisms(text: string): Result<DisabledMechanisms, string> {
  const names = text.split(',').filter((name) => name !== '');
  const unknown = names.find((name) => !isMechanism(name));
  if (unknown !== undefined) {
    return Err(`without: expected mechanisms among ${MECHANISMS.join(', ')}, got "${unknown}"`);
  }
  return Ok(new Set(names.filter(isMechanism)));
}

function isMechanism(name: string): name is Mechanism {
  return (MECHANISMS as readonly string[]).includes(name);
}
