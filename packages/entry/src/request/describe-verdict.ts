import type { SendVerdict } from './target-send.js';

/** Why a send brought no answer to pass on. */
export interface VerdictDescription {
  readonly ran: 'no' | 'unknown';
  readonly reason: string;
  readonly detail: string;
}

/** What a log line says of a send that brought no answer to pass on. */
export function describeVerdict(verdict: SendVerdict): VerdictDescription {
  switch (verdict.kind) {
    case 'answered':
      return { ran: 'unknown', reason: 'server-error', detail: `status ${verdict.answer.status}` };
    case 'not-run':
      return { ran: 'no', reason: verdict.reason, detail: verdict.detail };
    case 'unknown':
      return { ran: 'unknown', reason: verdict.reason, detail: verdict.detail };
    case 'ended':
      return { ran: verdict.wasSent ? 'unknown' : 'no', reason: verdict.cause, detail: '' };
  }
}
