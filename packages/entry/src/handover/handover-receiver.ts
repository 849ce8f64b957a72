import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Refusal, RefusalReason } from '../request/refusal.js';
import { sendRefusal } from '../request/refusal.js';
import type { RequestForwarder } from '../request/request-forwarder.js';
import type { HandoverAdmission, HandoverRejection } from './handover-admission.js';
import {
  encodeRefusal,
  HANDOVER_HEADER,
  HANDOVER_REQUEST_HEADER,
  HANDOVER_RESULT_HEADER,
  NOT_TAKEN,
  parseHandover,
} from './handover-headers.js';

const FORBIDDEN = 403;
/** Other hosts may take the request at once; this is for callers that find none. */
const RETRY_AFTER_SECONDS = 0.4;
const REASONS: Readonly<Record<Exclude<HandoverRejection, 'stranger'>, RefusalReason>> = {
  busy: 'overload',
  unreachable: 'targets-unreachable',
  behind: 'configuration-unconfirmed',
};

export interface HandoverReceiverOptions {
  readonly admission: HandoverAdmission;
  readonly forwarder: Pick<RequestForwarder, 'handle'>;
  /** Whether this host accepts no new connections soon. */
  readonly isLeaving: () => boolean;
}

/** Takes requests that other entry hosts hand over. */
export class HandoverReceiver {
  /** Number of requests taken. */
  taken = 0;
  /** Number of requests not taken. */
  rejected = 0;
  readonly #options: HandoverReceiverOptions;

  constructor(options: HandoverReceiverOptions) {
    this.#options = options;
  }

  /** @param path - the caller's path */
  async handle(request: IncomingMessage, response: ServerResponse, path: string): Promise<void> {
    const { admission, forwarder, isLeaving } = this.#options;
    const { [HANDOVER_HEADER]: header, ...headers } = request.headers;
    const handover = parseHandover(header);
    if (handover === undefined) {
      reject(response);
      return;
    }
    if (handover.requestId !== undefined) {
      response.setHeader(HANDOVER_REQUEST_HEADER, handover.requestId);
    }
    const admitted = admission.begin(handover);
    if (admitted.isErr()) {
      this.rejected++;
      refuse(request, response, admitted.error);
      return;
    }
    this.taken++;
    try {
      request.headers = headers;
      if (isLeaving()) {
        response.setHeader('connection', 'close');
      }
      await forwarder.handle(request, response, path, handover);
    } finally {
      admission.end();
    }
  }
}

function refuse(
  request: IncomingMessage,
  response: ServerResponse,
  rejection: HandoverRejection,
): void {
  if (rejection === 'stranger') {
    // It may be a host whose registration, or knowledge of this one's start, is some time behind.
    response.setHeader(HANDOVER_RESULT_HEADER, encodeRefusal(NOT_TAKEN));
    reject(response);
    return;
  }
  const refusal: Refusal = {
    reason: REASONS[rejection],
    detail: `this entry host takes no requests of others: ${rejection}`,
    ran: 'no',
    retryAfterSeconds: RETRY_AFTER_SECONDS,
  };
  sendRefusal({ request, response }, refusal, { [HANDOVER_RESULT_HEADER]: encodeRefusal(refusal) });
}

/** Rejects a request that no known entry host sends. */
function reject(response: ServerResponse): void {
  response.writeHead(FORBIDDEN, { 'content-length': 0, connection: 'close' }).end();
}
