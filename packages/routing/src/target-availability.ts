import type { TargetLimits } from './limits/target-limits.js';
import type { DisabledMechanisms } from './mechanisms.js';
import type { TargetState } from './target-state.js';

/** Limit on targets of each refusal that are reported as the cause. */
const MAX_REPORTED_TARGETS = 4;

/** Wait while all eligible targets rest (a back-off through Retry-After) or are at their limit. */
export interface TargetAvailability {
  /** Wait until the first of them accepts a request. */
  readonly milliseconds: number;
  /** Ids of the first few resting targets. */
  readonly resting: readonly string[];
  /** Ids of the first few targets at their limit. */
  readonly limited: readonly string[];
}

export interface TargetAvailabilityOptions {
  readonly now: number;
  /** Tells whether a target is eligible apart from its rest and its limit. */
  readonly isEligible: (target: TargetState) => boolean;
  readonly limits: Pick<TargetLimits, 'waitMilliseconds'>;
  readonly disabledMechanisms: DisabledMechanisms;
}

interface Waiting {
  readonly id: string;
  readonly milliseconds: number;
  readonly isResting: boolean;
}

/** Finds when the first eligible target becomes available, unless one is available now. */
export function earliestAvailability(
  targets: Iterable<TargetState>,
  { now, isEligible, limits, disabledMechanisms: disabled }: TargetAvailabilityOptions,
): TargetAvailability | undefined {
  const waiting: Waiting[] = [];
  for (const target of targets) {
    if (!isEligible(target)) {
      continue;
    }
    const isResting = target.isResting(now, disabled);
    const rest = isResting ? target.signals.restsUntil - now : 0;
    const milliseconds = Math.max(rest, limits.waitMilliseconds(target));
    if (milliseconds <= 0) {
      return undefined;
    }
    waiting.push({ id: target.id, milliseconds, isResting });
  }
  waiting.sort((a, b) => a.milliseconds - b.milliseconds);
  const [first] = waiting;
  const reported = waiting.slice(0, MAX_REPORTED_TARGETS);
  return first === undefined
    ? undefined
    : {
        milliseconds: first.milliseconds,
        resting: reported.filter(({ isResting }) => isResting).map(({ id }) => id),
        limited: reported.filter(({ isResting }) => !isResting).map(({ id }) => id),
      };
}
