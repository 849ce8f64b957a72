import type { ForwardingState } from './forwarding-state.js';
import type { NextStep } from './request-progress.js';
import type { SendVerdict } from './target-send.js';

/** Records the verdict of a send, and that a send that may have arrived uses the permit for it. */
export function recordVerdict(
  { progress, repeatPermit }: Pick<ForwardingState, 'progress' | 'repeatPermit'>,
  verdict: SendVerdict,
): NextStep {
  const { attempts } = progress;
  const next = progress.recordVerdict(verdict);
  if (progress.attempts > attempts) {
    repeatPermit.use();
  }
  return next;
}
