import type { TargetState } from '@ferrylock/routing';
import type { ResponseMetadata } from './header-codec.js';
import { promisesNotRun } from './refusal.js';
import { unprovenRefusal } from './refusals.js';
import type { TargetExclusion } from './target-exclusion.js';
import type { SendVerdict } from './target-send.js';

/** Status of a target that cannot serve. */
const UNAVAILABLE = 503;

/** Response that may refuse a request. */
export interface PossibleRefusal {
  readonly status: number;
  readonly metadata: Pick<ResponseMetadata, 'isOtherTarget' | 'targetId'>;
  /** Whether it proves that the request has not run and never will. */
  readonly isProven: boolean;
}

export interface RefusingTarget {
  readonly target: TargetState;
  readonly exclusion: Pick<TargetExclusion, 'eject'>;
  readonly now: number;
}

/**
 * Judges a response that refuses a request, or whose status would tell callers so, and excludes its
 * target for a while. Without proof, the request may have run.
 *
 * @returns undefined for any other response
 */
export function judgeRefusal(
  response: PossibleRefusal,
  refusing: RefusingTarget,
): SendVerdict | undefined {
  const { status, metadata, isProven } = response;
  if (!isProven && !promisesNotRun(status)) {
    return undefined;
  }
  excludeTarget(response, refusing);
  if (!isProven) {
    const { detail } = unprovenRefusal(status);
    return { kind: 'unknown', reason: 'target-failed', detail };
  }
  const detail = metadata.isOtherTarget ? 'another target answers there' : `status ${status}`;
  return { kind: 'not-run', reason: 'target-refused', detail };
}

/**
 * A target that does not say that it was not the one asked for, nor that it is another one, may be
 * the one all the same. A target that cannot serve is ejected as after a failure; other statuses
 * may concern the request alone.
 */
function excludeTarget(
  { status, metadata, isProven }: PossibleRefusal,
  { target, exclusion, now }: RefusingTarget,
): void {
  const { isOtherTarget, targetId = target.id } = metadata;
  if (isOtherTarget && (isProven || targetId !== target.id)) {
    target.recordReplaced();
  } else if (!isProven && (isOtherTarget || status === UNAVAILABLE)) {
    exclusion.eject(unprovenRefusal(status).detail);
  } else {
    target.recordShed(now);
  }
}
