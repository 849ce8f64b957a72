import type { IncomingHttpHeaders } from 'node:http';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../event-log.js';
import type { EntryEvent } from '../events.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { TargetReachability } from '../reachability/target-reachability.js';
import type { RoutedExchange } from '../request/caller-exchange.js';
import { forwardableHeaders } from '../request/forwardable-headers.js';
import type { Refusal } from '../request/refusal.js';
import type { TracedHead } from '../request/send-trace.js';
import { traceOf } from '../request/send-trace.js';
import type { SendOutcome, TargetClient, TargetResponse } from '../request/target-client.js';
import { encodeHandover, HANDOVER_HEADER, HANDOVER_REQUEST_HEADER } from './handover-headers.js';
import type { HandoverPeers } from './handover-peers.js';
import { judgeHandoverResponse } from './judge-handover-response.js';

/** Path prefix under which hosts take requests from others. */
export const HANDOVER_PATH_PREFIX = '/handover';

export interface RequestHandoverOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly client: Pick<TargetClient, 'send'>;
  readonly peers: HandoverPeers;
  readonly reachability: Pick<TargetReachability, 'unreachableMilliseconds'>;
  readonly ownName: string;
  readonly ownIncarnation: string;
}

/** Outcome of handing a request over to one host. */
export type HandoverVerdict =
  /** Response of a target, as that host received it. */
  | { readonly kind: 'answered'; readonly response: TargetResponse }
  /** That host refused it, or did not receive it. */
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  /** It may have been received, but no response was. */
  | { readonly kind: 'lost'; readonly detail: string }
  /** Cancelled by this host. */
  | { readonly kind: 'ended'; readonly wasSent: boolean };

/** A request and the host that it is handed over to. */
export interface HandoverSend {
  readonly exchange: RoutedExchange;
  /** Service that this host chose for it. */
  readonly service: string;
  readonly peer: EntryHostRecord;
  /** Sends that may have reached targets already. */
  readonly attempts: number;
}

/** Hands one request over to another entry host, once. */
export class RequestHandover {
  readonly verdict: Promise<HandoverVerdict>;
  readonly sentAt: number;
  readonly #options: RequestHandoverOptions;
  readonly #send: ReturnType<TargetClient['send']>;
  #isCancelled = false;
  #head: TracedHead | undefined;

  constructor(
    options: RequestHandoverOptions,
    readonly details: HandoverSend,
  ) {
    this.#options = options;
    const { exchange, peer } = details;
    const { clock, client, peers } = options;
    this.sentAt = clock.now();
    peers.begin(peer);
    this.#send = client.send({
      address: peer.controlAddress,
      method: exchange.request.method ?? 'GET',
      path: `${HANDOVER_PATH_PREFIX}${exchange.path}`,
      headers: this.#headers(),
      body: exchange.body,
      usesOwnConnection: false,
      isStillAllowed: () => !this.#isCancelled,
      checkHead: (status, headers) => this.#checkHead(status, headers),
      caller: exchange.response,
    });
    this.verdict = this.#judge();
  }

  cancel(): void {
    this.#isCancelled = true;
    this.#send.cancel();
  }

  /** The caller's headers, with its key: the host that sends to the target charges the account. */
  #headers(): Record<string, string | string[]> {
    const { ownName, ownIncarnation } = this.#options;
    const { exchange, service, peer, attempts } = this.details;
    const handover = encodeHandover({
      from: ownName,
      fromIncarnation: ownIncarnation,
      toIncarnation: peer.incarnation,
      milliseconds: Math.max(1, Math.floor(exchange.deadlineAt - this.sentAt)),
      attempts,
      requestId: exchange.requestId,
      version: exchange.version,
      service,
    });
    return { ...forwardableHeaders(exchange.request.headers), [HANDOVER_HEADER]: handover };
  }

  /**
   * A response to another request says nothing of this one. Hosts of older releases name none with
   * a target's response.
   */
  #checkHead(status: number, headers: IncomingHttpHeaders): Error | undefined {
    const answered = headers[HANDOVER_REQUEST_HEADER]?.toString();
    this.#head = { status, metadata: { requestId: answered, notRunMark: undefined } };
    return answered === undefined || answered === this.details.exchange.requestId
      ? undefined
      : new Error(`the host answered request ${answered}`);
  }

  async #judge(): Promise<HandoverVerdict> {
    const outcome = await this.#send.outcome;
    this.#options.peers.end(this.details.peer);
    const verdict = this.#verdictOf(outcome);
    this.#log(verdict);
    return verdict;
  }

  #verdictOf(outcome: SendOutcome): HandoverVerdict {
    if (outcome.kind === 'answered') {
      return judgeHandoverResponse(outcome.response, this.details.exchange.requestId);
    }
    if (this.#isCancelled) {
      return { kind: 'ended', wasSent: outcome.kind === 'broken' };
    }
    const { message: detail } = outcome.error;
    return outcome.kind === 'not-sent'
      ? { kind: 'refused', refusal: { reason: 'connect-failed', detail, ran: 'no' } }
      : { kind: 'lost', detail };
  }

  #log(verdict: HandoverVerdict): void {
    const { clock, events, reachability } = this.#options;
    const { requestId, route, account, version } = this.details.exchange;
    events.write({
      event: 'handed-over',
      requestId,
      route: route.name,
      ...(account === undefined ? {} : { account: account.name }),
      version,
      peer: this.details.peer.name,
      ...describe(verdict),
      ...traceOf(this.#send.connectionUse, this.#head),
      milliseconds: Math.round(clock.now() - this.sentAt),
      unreachableMilliseconds: Math.round(reachability.unreachableMilliseconds ?? 0),
    });
  }
}

function describe(
  verdict: HandoverVerdict,
): Pick<Extract<EntryEvent, { event: 'handed-over' }>, 'outcome' | 'detail'> {
  switch (verdict.kind) {
    case 'answered':
      return { outcome: 'answered', detail: `status ${verdict.response.status}` };
    case 'refused':
      return { outcome: 'refused', detail: `${verdict.refusal.reason}/${verdict.refusal.ran}` };
    case 'lost':
      return { outcome: 'lost', detail: verdict.detail };
    case 'ended':
      return { outcome: 'ended', detail: '' };
  }
}
