import type { LeftOut } from './mechanisms.js';
import type { TargetState } from './target-state.js';

/** Targets that a refused request's line names as the cause. */
const MOST_NAMED = 4;

/** All targets that might take a request have asked this host for rest. */
export interface CommonRest {
  /** Until the first of them wants work. */
  readonly milliseconds: number;
  /** The first few whose rest ends. */
  readonly targets: readonly string[];
}

export interface CommonRestOptions {
  readonly now: number;
  /** Whether a target might take the request, but for its rest. */
  readonly mayTake: (target: TargetState) => boolean;
  readonly leftOut: LeftOut;
}

/** The rest that all targets have in common which might take a request; the first that wants work ends the look. */
export function commonRest(
  targets: Iterable<TargetState>,
  { now, mayTake, leftOut }: CommonRestOptions,
): CommonRest | undefined {
  const resting: TargetState[] = [];
  for (const target of targets) {
    if (!mayTake(target)) {
      continue;
    }
    if (!target.isResting(now, leftOut)) {
      return undefined;
    }
    resting.push(target);
  }
  resting.sort((a, b) => a.word.restsUntil - b.word.restsUntil);
  const [first] = resting;
  return first === undefined
    ? undefined
    : {
        milliseconds: first.word.restsUntil - now,
        targets: resting.slice(0, MOST_NAMED).map(({ id }) => id),
      };
}
