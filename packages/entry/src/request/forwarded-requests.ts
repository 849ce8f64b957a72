import { isRepeatable } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../event-log.js';
import type { EntryEvent } from '../events.js';
import type { ForwardingState } from './forwarding-state.js';
import { TargetSend } from './target-send.js';

export interface ForwardedRequestsOptions {
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Requests that are being forwarded. */
export class ForwardedRequests {
  readonly #options: ForwardedRequestsOptions;
  readonly #requests = new Set<ForwardingState>();

  constructor(options: ForwardedRequestsOptions) {
    this.#options = options;
  }

  /** Knows a request until an action on it has ended. */
  async track(request: ForwardingState, action: () => Promise<void>): Promise<void> {
    this.#requests.add(request);
    try {
      await action();
    } finally {
      this.#requests.delete(request);
    }
  }

  /** Gives up sends whose targets cannot be heard, of requests that may be sent elsewhere. */
  abandonUnheard(): void {
    for (const { exchange, send } of this.#requests) {
      if (send instanceof TargetSend && isRepeatable(exchange.route.kind)) {
        send.abandonIfUnheard();
      }
    }
  }

  /** Logs each request that this host aborts as it stops. */
  logCut(): void {
    const now = this.#options.clock.now();
    for (const request of this.#requests) {
      this.#options.events.write(cutEvent(request, now));
    }
  }
}

function cutEvent(
  { exchange, progress, send, transfer }: ForwardingState,
  now: number,
): Extract<EntryEvent, { event: 'cut' }> {
  const { requestId, route, account, version, arrivedAt, deadlineAt } = exchange;
  const isSent = send !== undefined || progress.attempts > 0;
  const stage = isSent ? 'sent' : 'unsent';
  return {
    event: 'cut',
    requestId,
    route: route.name,
    ...(account === undefined ? {} : { account: account.name }),
    version,
    stage: transfer?.isPassing === true ? 'transfer' : stage,
    milliseconds: Math.round(now - arrivedAt),
    remainingMilliseconds: Math.round(deadlineAt - now),
  };
}
