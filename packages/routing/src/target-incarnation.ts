/** One start of a target: its id, which a later start may have too, and when that start began. */
export interface TargetIncarnation {
  readonly id: string;
  /**
   * Unix milliseconds by the target's own clock, which says nothing to any other clock; undefined where a target
   * does not tell, so that its id alone names the start.
   */
  readonly bornAt?: number | undefined;
}

/** Stands in no id. */
const SEPARATOR = '~';
const RADIX = 36;

/** Names a start among all starts of all targets. */
export function incarnationId({ id, bornAt }: TargetIncarnation): string {
  return bornAt === undefined ? id : `${id}${SEPARATOR}${bornAt.toString(RADIX)}`;
}

/** The id in the name of a start. */
export function targetIdOf(name: string): string {
  const end = name.lastIndexOf(SEPARATOR);
  return end < 0 ? name : name.slice(0, end);
}

/** Whether a start of a target is the same as another one of it, as far as it tells, or came before or after. */
export function compareIncarnations(
  one: TargetIncarnation,
  other: TargetIncarnation,
): 'same' | 'earlier' | 'later' {
  if (one.bornAt === undefined || one.bornAt === other.bornAt) {
    return 'same';
  }
  return other.bornAt === undefined || one.bornAt > other.bornAt ? 'later' : 'earlier';
}
