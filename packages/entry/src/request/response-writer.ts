import { jittered } from '@ferrylock/utils';
import type { Clock, Random } from '@ferrylock/utils';
import type { EventLog } from '../event-log.js';
import type { FleetView } from '../fleet/fleet-view.js';
import { ANSWERED, encodeRefusal, HANDOVER_RESULT_HEADER } from '../handover/handover-headers.js';
import type { TargetReachability } from '../reachability/target-reachability.js';
import type { RoutingState } from '../routing/routing-state.js';
import type { CallerExchange, RoutedExchange } from './caller-exchange.js';
import type { ConfigurationKnowledge } from './configuration-knowledge.js';
import type { HeaderCodec } from './header-codec.js';
import { forwardableHeaders } from './forwardable-headers.js';
import type { Refusal } from './refusal.js';
import {
  isByConfiguration,
  isRetryable,
  promisesNotRun,
  sendRefusal,
  statusOf,
} from './refusal.js';
import { unprovenRefusal } from './refusals.js';
import type { RequestMetrics } from './request-metrics.js';
import type { TransferEnd } from '../transfers/answer-transfer.js';
import type { ResponseOrigin } from './response-origin.js';
import type { ResponseHead, TargetResponse } from './target-client.js';

/** Mean `Retry-After` of a refusal that does not specify one. */
const RETRY_AFTER_SECONDS = 0.4;
/** Mean jitter added to a lower bound, so that callers do not all return at the same moment. */
const RETURN_JITTER_SECONDS = 0.2;
/** A response with one of these has no body, and none of the length that it declares. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);
/** Statuses from here on say that a request was not served. */
const FIRST_ERROR_STATUS = 400;

export interface ResponseWriterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly view: FleetView;
  readonly state: Pick<RoutingState, 'active'>;
  readonly knowledge: Pick<ConfigurationKnowledge, 'describe'>;
  readonly reachability: Pick<TargetReachability, 'unreachableMilliseconds'>;
  readonly codec: HeaderCodec;
  readonly metrics: RequestMetrics;
}

/** Sends final responses to callers and logs refused, retried, slow and failed requests. */
export class ResponseWriter {
  readonly #options: ResponseWriterOptions;

  constructor(options: ResponseWriterOptions) {
    this.#options = options;
  }

  /**
   * Forwards a target's complete response. A status that promises that the request has not run is
   * never forwarded: only this host's own refusals promise it.
   */
  deliver(exchange: RoutedExchange, received: TargetResponse, origin: ResponseOrigin): void {
    if (promisesNotRun(received.status)) {
      this.refuse(exchange, unprovenRefusal(received.status), origin.attempts);
      return;
    }
    const { clock, metrics, events } = this.#options;
    const { response, route, account, requestId, version } = exchange;
    const milliseconds = clock.now() - exchange.arrivedAt;
    const isOwn = exchange.handover === undefined;
    if (isOwn) {
      metrics.recordAnswer(route.kind, milliseconds);
    }
    if (isOwn && account !== undefined) {
      metrics.accounts.record(account.name, received.status < 500 ? 'served' : 'failed');
    }
    if (received.isPassedOn !== true) {
      if (response.destroyed) {
        return;
      }
      this.#writeWhole(exchange, received);
    }
    const isLate = milliseconds > route.targetLatencyMilliseconds;
    if (origin.attempts > 1 || isLate || received.status >= FIRST_ERROR_STATUS) {
      events.write({
        event: 'answered',
        requestId,
        route: route.name,
        ...(account === undefined ? {} : { account: account.name }),
        version,
        status: received.status,
        milliseconds: Math.round(milliseconds),
        ...origin,
        ...fromOf(exchange),
      });
    }
  }

  #writeWhole({ response, request, handover }: RoutedExchange, received: TargetResponse): void {
    const headers = this.#forwardable(received);
    if (request.method !== 'HEAD' && !STATUSES_WITHOUT_BODY.has(received.status)) {
      // The length also shows the caller that it has only a part if this host ends meanwhile.
      headers['content-length'] = String(received.body.length);
    }
    if (handover !== undefined) {
      headers[HANDOVER_RESULT_HEADER] = ANSWERED;
    }
    response.writeHead(received.status, headers);
    response.end(received.body);
  }

  #forwardable({ headers }: Pick<ResponseHead, 'headers'>): Record<string, string | string[]> {
    return forwardableHeaders(headers, this.#options.codec.consumedResponseHeaders);
  }

  /** Writes the head of a response whose body is passed on as it comes. */
  writeHead({ response }: RoutedExchange, { status, headers }: ResponseHead): void {
    const length = headers['content-length'];
    response.writeHead(status, {
      ...this.#forwardable({ headers }),
      ...(length === undefined ? {} : { 'content-length': length }),
    });
  }

  /** Records that a response was passed on only in part. */
  recordBrokenTransfer(exchange: RoutedExchange, end: TransferEnd): void {
    const { clock, metrics, events } = this.#options;
    const { route, account, requestId } = exchange;
    const milliseconds = clock.now() - exchange.arrivedAt;
    metrics.transferEnds.set(end, (metrics.transferEnds.get(end) ?? 0) + 1);
    metrics.recordRefusal(route.kind, `transfer-${end}/unknown`, milliseconds);
    if (account !== undefined) {
      metrics.accounts.record(account.name, 'failed');
    }
    events.write({
      event: 'transfer-ended',
      requestId,
      route: route.name,
      end,
      milliseconds: Math.round(milliseconds),
    });
  }

  /** Sends a refusal, which tells the caller whether the request may have run. */
  refuse(exchange: CallerExchange & Partial<RoutedExchange>, refusal: Refusal, attempts = 0): void {
    const { clock, random, codec, metrics, events, view } = this.#options;
    const { requestId = exchange.metadata.requestId, route, account } = exchange;
    const version = exchange.version ?? this.#options.state.active?.version;
    const milliseconds = clock.now() - exchange.arrivedAt;
    const isOwn = exchange.handover === undefined;
    if (isOwn) {
      const outcome = `${refusal.reason}/${refusal.ran}`;
      metrics.recordRefusal(route?.kind ?? 'none', outcome, milliseconds);
    }
    if (isOwn && account !== undefined) {
      const isOverLimit = refusal.reason === 'over-quota';
      metrics.accounts.record(account.name, isOverLimit ? 'overLimit' : 'failed');
    }
    const { retryAfterSeconds: seconds = RETRY_AFTER_SECONDS, isLowerBound = false } = refusal;
    const retryAfterSeconds = isLowerBound
      ? seconds + jittered(random, RETURN_JITTER_SECONDS)
      : jittered(random, seconds);
    const sent = isRetryable(refusal) ? { ...refusal, retryAfterSeconds } : refusal;
    sendRefusal(exchange, sent, {
      ...codec.localReplyHeaders(requestId),
      ...(isOwn ? {} : { [HANDOVER_RESULT_HEADER]: encodeRefusal(sent) }),
    });
    events.write({
      event: 'refused',
      requestId: requestId ?? '',
      ...(route === undefined ? {} : { route: route.name }),
      ...(account === undefined ? {} : { account: account.name }),
      ...(version === undefined ? {} : { version }),
      status: statusOf(refusal),
      ran: refusal.ran,
      reason: refusal.reason,
      detail: refusal.detail,
      ...(route === undefined ? {} : { priority: route.priority }),
      ...(sent.retryAfterSeconds === undefined
        ? {}
        : { retryAfterSeconds: Number(sent.retryAfterSeconds.toFixed(2)) }),
      ...(refusal.resting === undefined ? {} : { resting: [...refusal.resting] }),
      ...(refusal.limited === undefined ? {} : { limited: [...refusal.limited] }),
      attempts,
      milliseconds: Math.round(milliseconds),
      beliefAgeMilliseconds: Math.round(clock.now() - view.confirmedAt),
      ...this.#unreachable(),
      ...fromOf(exchange),
      ...(isByConfiguration(refusal) ? { knowledge: this.#options.knowledge.describe() } : {}),
    });
  }

  /** How long failure domains have been unreachable. */
  #unreachable(): { readonly unreachableMilliseconds?: number } {
    const { unreachableMilliseconds } = this.#options.reachability;
    return unreachableMilliseconds === undefined
      ? {}
      : { unreachableMilliseconds: Math.round(unreachableMilliseconds) };
  }
}

/** Host that handed a request over. */
function fromOf({ handover }: CallerExchange): { readonly from?: string } {
  return handover === undefined ? {} : { from: handover.from };
}
