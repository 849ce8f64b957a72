import type { SendVerdict } from './target-send.js';

/** Log fields of a send that yielded no usable response. */
export interface VerdictDescription {
  readonly ran: 'no' | 'unknown';
  readonly reason: string;
  readonly detail: string;
}

/** Describes a send that yielded no usable response, for the log. */
export function describeVerdict(verdict: SendVerdict): VerdictDescription {
  switch (verdict.kind) {
    case 'answered':
      return {
        ran: 'unknown',
        reason: 'server-error',
        detail: `status ${verdict.response.status}`,
      };
    case 'not-run':
      return { ran: 'no', reason: verdict.reason, detail: verdict.detail };
    case 'unknown':
      return { ran: 'unknown', reason: verdict.reason, detail: verdict.detail };
    case 'ended':
      return { ran: verdict.wasSent ? 'unknown' : 'no', reason: verdict.cause, detail: '' };
  }
}
