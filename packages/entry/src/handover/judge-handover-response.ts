import { forwardableHeaders } from '../request/forwardable-headers.js';
import type { TargetResponse } from '../request/target-client.js';
import type { HandoverRefusal } from './handover-headers.js';
import {
  ANSWERED,
  HANDOVER_REQUEST_HEADER,
  HANDOVER_RESULT_HEADER,
  NOT_TAKEN,
  parseRefusal,
} from './handover-headers.js';
import type { HandoverVerdict } from './request-handover.js';

/** Headers between hosts that callers do not get. */
const OWN_RESPONSE_HEADERS: ReadonlySet<string> = new Set([
  HANDOVER_RESULT_HEADER,
  HANDOVER_REQUEST_HEADER,
]);
/** Status by which a host rejects a request of a host that it does not know. */
const FORBIDDEN = 403;

/**
 * Judges a response to a request that was handed over: one of a target, or a refusal by the host,
 * which says whether the request has run. That it has not is believed only of a host's own word
 * that names the request. Other responses may come after a target has got it: of a handler that
 * failed, of the host's HTTP server, or of another program at that address.
 */
export function judgeHandoverResponse(
  received: TargetResponse,
  requestId: string,
): Extract<HandoverVerdict, { kind: 'answered' | 'refused' | 'lost' }> {
  if (received.headers[HANDOVER_RESULT_HEADER] === ANSWERED) {
    const headers = forwardableHeaders(received.headers, OWN_RESPONSE_HEADERS);
    return { kind: 'answered', response: { ...received, headers } };
  }
  const refusal = refusalOf(received);
  if (refusal === undefined) {
    return { kind: 'lost', detail: `status ${received.status} without a result that can be read` };
  }
  if (refusal.ran === 'no' && received.headers[HANDOVER_REQUEST_HEADER] !== requestId) {
    return { kind: 'lost', detail: `status ${received.status}, a refusal that names no request` };
  }
  const { retryAfterSeconds, ...others } = refusal;
  const detail = `refused by the host that it was handed over to, status ${received.status}`;
  return {
    kind: 'refused',
    refusal: {
      ...others,
      detail,
      // That host has added jitter already; this one only spreads returns further.
      ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds, isLowerBound: true }),
    },
  };
}

/** Hosts of older releases send no result with a rejection. */
function refusalOf({ status, headers }: TargetResponse): HandoverRefusal | undefined {
  const result = headers[HANDOVER_RESULT_HEADER];
  return result === undefined && status === FORBIDDEN ? NOT_TAKEN : parseRefusal(result);
}
