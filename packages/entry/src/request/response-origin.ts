import type { TargetState } from '@ferrylock/routing';
import type { SendTrace } from './send-trace.js';
import type { TargetSend } from './target-send.js';

/** Origin of a response, for the log. */
export interface ResponseOrigin extends SendTrace {
  /** Target that sent the response; empty if this host made it or got it from another one. */
  readonly target: string;
  /** Estimated number of requests at the target. */
  readonly load: number;
  /** Sends that may have reached a target, including this one. */
  readonly attempts: number;
  /** Load per slot of the target when the request was sent to it. */
  readonly loadPerSlot?: number;
  /** Whether the target was expected to have the object cached. */
  readonly isKnownObject?: boolean;
  /** Time from arrival until the request was sent to the target that answered. */
  readonly waitedMilliseconds?: number;
}

export interface AnsweredSend {
  readonly target: TargetState;
  readonly send: TargetSend;
  readonly attempts: number;
  readonly arrivedAt: number;
  readonly now: number;
}

/** Origin of the response to a send. */
export function originOf({ target, send, attempts, arrivedAt, now }: AnsweredSend): ResponseOrigin {
  return {
    target: target.id,
    load: target.load(now),
    attempts,
    loadPerSlot: Number(send.loadPerSlot.toFixed(2)),
    isKnownObject: send.isKnownObject,
    waitedMilliseconds: Math.round(send.sentAt - arrivedAt),
    ...send.trace,
  };
}

/** Origin of a response that no send of this host to a target brought. */
export function originElsewhere(attempts: number): ResponseOrigin {
  return { target: '', load: 0, attempts };
}
