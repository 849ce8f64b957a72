/** Incarnation of a target: its id, which later incarnations share, and its start time. */
export interface TargetIncarnation {
  readonly id: string;
  /**
   * Start time in Unix milliseconds by the clock of the target, not comparable with other clocks;
   * undefined if not reported, so that the id alone identifies the incarnation.
   */
  readonly bornAt?: number | undefined;
}

/** Does not occur in ids. */
const SEPARATOR = '~';
const RADIX = 36;

/** Formats the unique identifier of an incarnation. */
export function incarnationId({ id, bornAt }: TargetIncarnation): string {
  return bornAt === undefined ? id : `${id}${SEPARATOR}${bornAt.toString(RADIX)}`;
}

/** Extracts the target id from the identifier of an incarnation. */
export function targetIdOf(name: string): string {
  const end = name.lastIndexOf(SEPARATOR);
  return end < 0 ? name : name.slice(0, end);
}

/** Orders two incarnations of a target by start time; unknown start times compare as the same. */
export function compareIncarnations(
  one: TargetIncarnation,
  other: TargetIncarnation,
): 'same' | 'earlier' | 'later' {
  if (one.bornAt === undefined || one.bornAt === other.bornAt) {
    return 'same';
  }
  return other.bornAt === undefined || one.bornAt > other.bornAt ? 'later' : 'earlier';
}
