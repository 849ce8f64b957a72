import type { RoutedExchange } from '../request/caller-exchange.js';
import type { Refusal } from '../request/refusal.js';
import { isByConfiguration } from '../request/refusal.js';
import type { NextStep, RequestProgress } from '../request/request-progress.js';
import type { TargetResponse } from '../request/target-client.js';
import type { HandoverVerdict, RequestHandoverOptions } from './request-handover.js';
import { RequestHandover } from './request-handover.js';

/** Entry hosts that one request is handed over to at most, one after the other. */
const MAX_HOSTS = 2;

/** A request that this host cannot send to a target. */
export interface HandoverRequest {
  readonly exchange: RoutedExchange;
  readonly progress: RequestProgress;
  /** Service that this host chose for it. */
  readonly service: string;
  /** Called with each handover, so that it can be cancelled. */
  readonly onSend: (send: RequestHandover) => void;
  /** Acquires the repetition of a request that may have run. */
  readonly mayRepeat: () => boolean;
}

/** Has requests served by way of entry hosts that reach the targets. */
export class HandoverController {
  /** Requests handed over, by outcome. */
  readonly counts = new Map<HandoverVerdict['kind'], number>();
  readonly #options: RequestHandoverOptions;

  constructor(options: RequestHandoverOptions) {
    this.#options = options;
  }

  /** Returns a target's response; if undefined, the progress of the request has the outcome. */
  async run(request: HandoverRequest): Promise<TargetResponse | undefined> {
    const { exchange, progress, service, onSend } = request;
    const tried = new Set<string>();
    while (tried.size < MAX_HOSTS) {
      const peer = this.#options.peers.select(exchange.route, tried);
      if (peer === undefined) {
        return undefined;
      }
      tried.add(peer.name);
      const send = new RequestHandover(this.#options, {
        exchange,
        service,
        peer,
        attempts: progress.attempts,
      });
      onSend(send);
      const verdict = await send.verdict;
      this.counts.set(verdict.kind, (this.counts.get(verdict.kind) ?? 0) + 1);
      if (verdict.kind === 'answered') {
        return verdict.response;
      }
      if (!this.#mayContinue(verdict, request)) {
        return undefined;
      }
    }
    return undefined;
  }

  /** Records the verdict; returns whether another host may be tried. */
  #mayContinue(
    verdict: Exclude<HandoverVerdict, { kind: 'answered' }>,
    { progress, mayRepeat }: HandoverRequest,
  ): boolean {
    switch (verdict.kind) {
      case 'refused': {
        const next = recordRefusal(verdict.refusal, progress);
        const mayContinue = progress.cancelledBy === undefined;
        return mayContinue && (next === 'try-again' || (next !== 'give-up' && mayRepeat()));
      }
      case 'lost':
        return progress.recordLostHandover(verdict.detail) !== 'give-up' && mayRepeat();
      case 'ended':
        progress.recordEndedHandover(verdict.wasSent);
        return false;
    }
  }
}

/** Records a refusal by another host; one of a target tells that the request has reached it. */
function recordRefusal(refusal: Refusal, progress: RequestProgress): NextStep {
  const { reason, detail, ran } = refusal;
  // This host has admitted the request by its own configuration, which may be newer.
  const isDenied = isByConfiguration(refusal);
  if (ran === 'unknown') {
    if (isDenied) {
      progress.recordLostHandover(detail);
    } else {
      progress.recordUncertainRefusal(refusal);
    }
    return 'give-up';
  }
  const next =
    reason === 'target-refused'
      ? progress.recordVerdict({ kind: 'not-run', reason, detail })
      : 'try-again';
  if (!isDenied) {
    progress.recordRefusal(refusal);
  }
  return next;
}
