import { jittered } from '@ferrylock/utils';
import type { Clock, Random } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { CallerExchange, RoutedExchange } from './caller-exchange.js';
import type { HeaderCodec } from './header-codec.js';
import { forwardableHeaders } from './forwardable-headers.js';
import type { Refusal } from './refusal.js';
import { isRetryable, sendRefusal, statusOf } from './refusal.js';
import type { RequestMetrics } from './request-metrics.js';
import type { TargetResponse } from './target-client.js';

/** Mean wait that a refused caller is told where nothing tells a better one. */
const RETRY_AFTER_SECONDS = 0.4;
/** Mean wait after the moment from which a target takes work again, so that not all come at that moment. */
const RETURN_SPREAD_SECONDS = 0.2;

export interface ResponseWriterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly view: FleetView;
  readonly codec: HeaderCodec;
  readonly metrics: RequestMetrics;
}

/** How a request came to its answer. */
export interface ResponseOrigin {
  /** Target whose answer it is. */
  readonly target: string;
  /** Requests that the target was taken to have. */
  readonly load: number;
  /** Sends that targets may have seen, this one included. */
  readonly attempts: number;
}

/** Gives callers their final answers, and writes why where the log is to tell. */
export class ResponseWriter {
  readonly #options: ResponseWriterOptions;

  constructor(options: ResponseWriterOptions) {
    this.#options = options;
  }

  /** Passes a target's whole answer on. */
  deliver(exchange: RoutedExchange, answer: TargetResponse, origin: ResponseOrigin): void {
    const { clock, metrics, events } = this.#options;
    const { response, request, route, account, requestId, version } = exchange;
    const milliseconds = clock.now() - exchange.arrivedAt;
    metrics.recordAnswer(route.kind, milliseconds);
    if (account !== undefined) {
      metrics.accounts.record(account.name, answer.status < 500 ? 'served' : 'failed');
    }
    if (response.destroyed) {
      return;
    }
    const headers = forwardableHeaders(answer.headers);
    if (!answer.isDelimited) {
      // It may have been cut: a length of our own would say that it is whole.
      response.useChunkedEncodingByDefault = false;
      headers.connection = 'close';
    } else if (request.method !== 'HEAD' && answer.status !== 304) {
      headers['content-length'] = String(answer.body.length);
    }
    response.writeHead(answer.status, headers);
    response.end(answer.body);
    const isLate = milliseconds > route.targetLatencyMilliseconds;
    if (origin.attempts > 1 || isLate || answer.status >= 500) {
      events.write({
        event: 'answered',
        requestId,
        route: route.name,
        ...(account === undefined ? {} : { account: account.name }),
        version,
        status: answer.status,
        milliseconds: Math.round(milliseconds),
        ...origin,
      });
    }
  }

  /** Says that no target's answer will come, and whether the request may have run. */
  refuse(exchange: CallerExchange & Partial<RoutedExchange>, refusal: Refusal, attempts = 0): void {
    const { clock, random, codec: dialect, metrics, events, view } = this.#options;
    const { requestId = exchange.metadata.requestId, route, account, version } = exchange;
    const milliseconds = clock.now() - exchange.arrivedAt;
    metrics.recordRefusal(route?.kind ?? 'none', `${refusal.reason}/${refusal.ran}`, milliseconds);
    if (account !== undefined) {
      const isOverLimit = refusal.reason === 'over-quota';
      metrics.accounts.record(account.name, isOverLimit ? 'overLimit' : 'failed');
    }
    const { retryAfterSeconds: told = RETRY_AFTER_SECONDS, isLowerBound: isEarliest = false } =
      refusal;
    const retryAfterSeconds = isEarliest
      ? told + jittered(random, RETURN_SPREAD_SECONDS)
      : jittered(random, told);
    sendRefusal(
      exchange,
      isRetryable(refusal) ? { ...refusal, retryAfterSeconds } : refusal,
      dialect.localReplyHeaders(requestId),
    );
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
      ...(refusal.resting === undefined ? {} : { resting: [...refusal.resting] }),
      ...(refusal.limited === undefined ? {} : { limited: [...refusal.limited] }),
      attempts,
      milliseconds: Math.round(milliseconds),
      beliefAgeMilliseconds: Math.round(clock.now() - view.confirmedAt),
    });
  }
}
