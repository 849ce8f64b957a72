import type { RetryBudgetState, TargetState } from '@ferrylock/routing';
import type { EntryEvent } from '../events.js';
import type { RoutedExchange } from './caller-exchange.js';
import { describeVerdict } from './describe-verdict.js';
import { roundedBudget } from './denied-repeat-log.js';
import type { SendTrace } from './send-trace.js';
import type { SendVerdict } from './target-send.js';

export interface FailedSend {
  readonly exchange: RoutedExchange;
  readonly target: TargetState;
  readonly verdict: SendVerdict;
  readonly trace: SendTrace;
  /** Sends that may have reached a target, this one included. */
  readonly attempt: number;
  readonly sentAt: number;
  /** Monotonic time at which the store was last known to hold nothing newer. */
  readonly confirmedAt: number;
  readonly now: number;
  /** The retry budget, if it alone keeps the request from being sent again. */
  readonly deniedBy: RetryBudgetState | undefined;
}

/** Event of a send that did not bring the final answer. */
export function failedSendEvent(send: FailedSend): Extract<EntryEvent, { event: 'try-failed' }> {
  const { exchange, target, verdict, trace, attempt, sentAt, confirmedAt, now, deniedBy } = send;
  return {
    event: 'try-failed',
    requestId: exchange.requestId,
    route: exchange.route.name,
    ...(exchange.account === undefined ? {} : { account: exchange.account.name }),
    version: exchange.version,
    target: target.id,
    attempt,
    milliseconds: Math.round(now - sentAt),
    ...describeVerdict(verdict),
    ...trace,
    load: target.load(now),
    beliefAgeMilliseconds: Math.round(now - confirmedAt),
    ...(deniedBy === undefined ? {} : { retryBudget: roundedBudget(deniedBy) }),
  };
}
