import type { ServiceTargets } from '@ferrylock/routing';
import type { RequestHandover } from '../handover/request-handover.js';
import type { AnswerTransfer } from '../transfers/answer-transfer.js';
import type { RoutedExchange } from './caller-exchange.js';
import type { RepeatPermit } from './repeat-permit.js';
import type { RequestProgress } from './request-progress.js';
import type { TargetSend } from './target-send.js';

/** State of a request while it is forwarded. */
export interface ForwardingState {
  readonly exchange: RoutedExchange;
  readonly service: ServiceTargets;
  readonly progress: RequestProgress;
  readonly repeatPermit: RepeatPermit;
  /** Send to a target or handover in flight. */
  send: TargetSend | RequestHandover | undefined;
  /** Whether it counts as demand for the service, as it does at the host that sends it. */
  isCounted: boolean;
  /** Whether the account's usage is settled. */
  isSettled: boolean;
  /** Passes a large answer on as it comes; undefined if answers are kept whole. */
  readonly transfer: AnswerTransfer | undefined;
}
