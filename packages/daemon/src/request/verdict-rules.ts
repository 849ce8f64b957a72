import type { NotRun, RefusalReason, Target, Verdict } from '@ferrylock/steering';

/** Refusals after which the same request may be sent to another target, whatever its class. */
const NOT_RUN_BY_TARGET: ReadonlySet<RefusalReason> = new Set(['connect-failed', 'target-shed']);
/** Failures that say something of the target. */
const TARGET_FAULTS: ReadonlySet<RefusalReason> = new Set([
  'connect-failed',
  'target-failed',
  'deadline',
]);

/** Whether the same request may be sent to another target, whatever its class. */
export function isNotRunByTarget(verdict: NotRun): boolean {
  return NOT_RUN_BY_TARGET.has(verdict.reason);
}

/** A target that could not be connected to has had no load of the try, so that no budget is needed. */
export function isWithoutLoad(verdict: Verdict): boolean {
  return verdict.kind === 'notRun' && verdict.reason === 'connect-failed';
}

/** Whether a target began to answer, or ran, and gave no whole answer. */
export function isLost(verdict: Verdict): boolean {
  return verdict.kind === 'mayHaveRun' && verdict.reason === 'target-failed';
}

/** Learns from how a try ended. */
export function observe(target: Target, verdict: Verdict, milliseconds: number, now: number): void {
  if (verdict.kind === 'answered' && verdict.status < 500) {
    target.recordAnswer(milliseconds);
  } else if (verdict.kind === 'answered' || TARGET_FAULTS.has(verdict.reason)) {
    target.recordFailure(now);
  }
}
