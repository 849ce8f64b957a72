import type { TargetLimits } from './limits/target-limits.js';
import type { DisabledMechanisms } from './mechanisms.js';
import type { TargetState } from './target-state.js';

/** Targets that a refused request's line names as the cause. */
const MOST_NAMED = 4;

/** All targets that might take a request have asked this host for rest, or get as many as they named. */
export interface TargetAvailability {
  /** Until the first of them takes a request. */
  readonly milliseconds: number;
  /** The first few that rest. */
  readonly resting: readonly string[];
  /** The first few whose limit is used up. */
  readonly limited: readonly string[];
}

export interface TargetAvailabilityOptions {
  readonly now: number;
  /** Whether a target might take the request, but for its rest and its limit. */
  readonly mayTake: (target: TargetState) => boolean;
  readonly limits: Pick<TargetLimits, 'waitMilliseconds'>;
  readonly disabledMechanisms: DisabledMechanisms;
}

interface Waiting {
  readonly id: string;
  readonly milliseconds: number;
  readonly isResting: boolean;
}

/** The wait that all targets have in common which might take a request; the first that takes one now ends the look. */
export function earliestAvailability(
  targets: Iterable<TargetState>,
  { now, mayTake, limits, disabledMechanisms: leftOut }: TargetAvailabilityOptions,
): TargetAvailability | undefined {
  const waiting: Waiting[] = [];
  for (const target of targets) {
    if (!mayTake(target)) {
      continue;
    }
    const isResting = target.isResting(now, leftOut);
    const rest = isResting ? target.signals.restsUntil - now : 0;
    const milliseconds = Math.max(rest, limits.waitMilliseconds(target));
    if (milliseconds <= 0) {
      return undefined;
    }
    waiting.push({ id: target.id, milliseconds, isResting });
  }
  waiting.sort((one, other) => one.milliseconds - other.milliseconds);
  const [first] = waiting;
  const named = waiting.slice(0, MOST_NAMED);
  return first === undefined
    ? undefined
    : {
        milliseconds: first.milliseconds,
        resting: named.filter(({ isResting }) => isResting).map(({ id }) => id),
        limited: named.filter(({ isResting }) => !isResting).map(({ id }) => id),
      };
}
