import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/**
 * Decisions that can be left out one by one, so that what each of them is worth can be measured on
 * a deployment (`--without=NAME,...`).
 */
export const MECHANISMS = [
  /** Part of a region's keys goes to its own targets, as much as these can carry. */
  'keys-at-home',
  /** That part follows what callers of each region ask for, as entry hosts report it. */
  'measured-demand',
  /** A key's requests may go to a second target of the region. */
  'second-copy',
  /** A request goes to another region, where the object is known too, rather than wait long. */
  'other-regions',
  /** What an answer tells of the target's load counts. */
  'told-load',
  /** What other entry hosts have at a target counts. */
  'peer-load',
  /** A target that fails is left alone for a while. */
  'ejection',
  /** A target that asked this host for rest is sent nothing until the end of it. */
  'rest',
  /** What all hosts together send a target stays within the limit that it names. */
  'limit',
  /** A limit that another host heard counts here too. */
  'told-limits',
  /** A store that came back from a copy begins another life, whose revisions come after those of the life before. */
  'store-lives',
  /** What is known beyond what such a store holds is kept until it is written again. */
  'kept-records',
  /** Few hosts read everything anew, and tell the others. */
  'reading-in-turns',
] as const;

export type Mechanism = (typeof MECHANISMS)[number];

/** Mechanisms that are left out. */
export type DisabledMechanisms = ReadonlySet<Mechanism>;

export const NO_DISABLED_MECHANISMS: DisabledMechanisms = new Set();

/** Reads names divided by commas; an unknown one is an error that names all that there are. */
export function parseDisabledMechanisms(text: string): Result<DisabledMechanisms, string> {
  const names = text.split(',').filter((name) => name !== '');
  const unknown = names.find((name) => !isMechanism(name));
  if (unknown !== undefined) {
    return Err(`without: expected names among ${MECHANISMS.join(', ')}, got "${unknown}"`);
  }
  return Ok(new Set(names.filter(isMechanism)));
}

function isMechanism(name: string): name is Mechanism {
  return (MECHANISMS as readonly string[]).includes(name);
}
