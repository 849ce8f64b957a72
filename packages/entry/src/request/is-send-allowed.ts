import type { ShutdownWindow } from '../shutdown-window.js';
import type { SuspectController } from '../suspects/suspect-controller.js';
import type { ForwardingState } from './forwarding-state.js';
import { stopping } from './refusals.js';

export interface SendConditions {
  readonly suspects: Pick<SuspectController, 'findFingerprint' | 'mayRun' | 'retryAfterSeconds'>;
  readonly shutdownWindow: Pick<ShutdownWindow, 'canAnswer'>;
}

/**
 * Checks before each send of a request whether targets may run it, as peers may have reported
 * crashes, and whether this host runs long enough to return the answer. Records the refusal if not.
 */
export async function isSendAllowed(
  { exchange, progress }: Pick<ForwardingState, 'exchange' | 'progress'>,
  { suspects, shutdownWindow }: SendConditions,
): Promise<boolean> {
  const fingerprint = suspects.findFingerprint(exchange);
  if (fingerprint !== undefined && !(await suspects.mayRun(fingerprint))) {
    progress.rejectSuspect(suspects.retryAfterSeconds(fingerprint));
    return false;
  }
  if (!shutdownWindow.canAnswer(exchange.deadlineAt)) {
    progress.recordRefusal(stopping());
    return false;
  }
  return true;
}
