import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ClientAccount, TargetState } from '@ferrylock/routing';
import { originElsewhere, originOf } from './response-origin.js';
import type { RoutedExchange } from './caller-exchange.js';
import { affinityKeyOf } from './caller-exchange.js';
import { hasDisconnected } from './has-disconnected.js';
import { ForwardedRequests } from './forwarded-requests.js';
import type { ForwardingState } from './forwarding-state.js';
import { DeniedRepeatLog } from './denied-repeat-log.js';
import { failedSendEvent } from './failed-send-event.js';
import { repeatCauseOf } from './repeat-metrics.js';
import { isSendAllowed } from './is-send-allowed.js';
import type { Handover } from '../handover/handover-headers.js';
import { TransferController } from '../transfers/transfer-controller.js';
import type { Refusal } from './refusal.js';
import { overPart, targetsUnreachable, tooManyBytesHeld } from './refusals.js';
import type { RequestForwarderOptions } from './request-forwarder-options.js';
import { recordVerdict } from './record-verdict.js';
import { RepeatPermit } from './repeat-permit.js';
import { RequestIntake } from './request-intake.js';
import { RequestProgress } from './request-progress.js';
import { ServiceChoice } from './service-choice.js';
import type { CancelCause } from './target-send.js';
import { isUnconnected, TargetSend } from './target-send.js';
import { withExpectedWait } from './with-expected-wait.js';

/** Forwards callers' requests to targets, retries them and returns the responses. */
export class RequestForwarder {
  readonly #options: RequestForwarderOptions;
  readonly #intake: RequestIntake;
  readonly #transfers: TransferController;
  readonly #services: ServiceChoice;
  readonly #deniedRepeats: DeniedRepeatLog;
  readonly #forwarded: ForwardedRequests;

  constructor(options: RequestForwarderOptions) {
    this.#options = options;
    this.#intake = new RequestIntake(options);
    this.#services = new ServiceChoice(options);
    this.#forwarded = new ForwardedRequests(options);
    this.#transfers = new TransferController(options);
    this.#deniedRepeats = new DeniedRepeatLog(options.clock, options.events);
  }

  /** @param handover - present if another entry host hands the request over */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
    handover?: Handover,
  ): Promise<void> {
    const { clock, codec, metrics, bodyReader, responses } = this.#options;
    const decoded = codec.decodeRequest(request.headers);
    const metadata =
      handover === undefined
        ? decoded
        : { ...decoded, deadlineMilliseconds: handover.milliseconds };
    const exchange = { request, response, path, metadata, handover, arrivedAt: clock.now() };
    metrics.inFlight++;
    let body: Buffer | undefined;
    try {
      const routed = await this.#intake.receive(exchange);
      if (routed === 'caller-gone') {
        return;
      }
      if ('reason' in routed) {
        const { account, route, ...refusal } = routed;
        const match = route === undefined ? {} : { account, route };
        responses.refuse({ ...exchange, ...match }, refusal);
        return;
      }
      body = routed.body;
      await this.#forward(routed);
    } finally {
      metrics.inFlight--;
      bodyReader.release(body);
    }
  }

  async #forward(exchange: RoutedExchange): Promise<void> {
    const { metrics, responses } = this.#options;
    const service = this.#services.choose(exchange);
    if (service === undefined) {
      const detail = 'the service has no targets';
      this.#settle(exchange.account, 0);
      responses.refuse(exchange, { reason: 'no-target', detail, ran: 'no' });
      return;
    }
    if (exchange.handover === undefined) {
      service.retryBudget.recordRequest();
    }
    const progress = new RequestProgress(exchange.route, exchange.handover?.attempts);
    const forwarding: ForwardingState = {
      exchange,
      service,
      progress,
      repeatPermit: new RepeatPermit({
        service,
        metrics: metrics.repeats,
        denied: this.#deniedRepeats,
      }),
      send: undefined,
      isCounted: false,
      isSettled: false,
      transfer: this.#transfers.create(exchange),
    };
    const refusal = this.#refuseBeforeSending(forwarding);
    if (refusal !== undefined) {
      this.#count(forwarding);
      this.#settleOnce(forwarding);
      responses.refuse(exchange, refusal);
      return;
    }
    await this.#forwarded.track(forwarding, () => this.#serve(forwarding));
  }

  /** Sends the request to targets until it is answered, and passes the answer on. */
  async #serve(forwarding: ForwardingState): Promise<void> {
    const { exchange, progress } = forwarding;
    const { clock } = this.#options;
    const cancel = (cause: CancelCause): void => {
      progress.cancelledBy ??= cause;
      forwarding.send?.cancel(cause);
    };
    const onClose = (): void => {
      if (!exchange.response.writableFinished) {
        cancel('caller-gone');
      }
    };
    exchange.response.on('close', onClose);
    const cancelTimer = clock.after(Math.max(0, exchange.deadlineAt - clock.now()), () => {
      cancel('deadline');
    });
    try {
      if (this.#options.isLagging() && (await hasDisconnected(exchange))) {
        cancel('caller-gone');
      }
      await this.#sendToTargets(forwarding);
    } finally {
      cancelTimer();
      forwarding.repeatPermit.release();
      exchange.response.off('close', onClose);
      this.#settleOnce(forwarding);
    }
    await this.#transfers.end(exchange, forwarding.transfer);
  }

  /** Refusal of a request for which there is no room, whatever target it would be sent to. */
  #refuseBeforeSending({ exchange, service, transfer }: ForwardingState): Refusal | undefined {
    const { account } = exchange;
    const over =
      account === undefined
        ? undefined
        : this.#options.fairAdmission.check(account.name, service.name, service.room);
    if (over !== undefined) {
      return overPart(over);
    }
    return this.#transfers.tryReserve(transfer) ? undefined : tooManyBytesHeld();
  }

  /** Gives up sends whose targets cannot be heard, so that their requests are served elsewhere. */
  abandonUnheard(): void {
    if (this.#options.reachability.hasUnreachableDomains) {
      this.#forwarded.abandonUnheard();
    }
  }

  /** Logs each request that this host aborts as it stops. */
  logCut(): void {
    this.#forwarded.logCut();
  }

  #settleOnce(forwarding: ForwardingState): void {
    if (!forwarding.isSettled) {
      forwarding.isSettled = true;
      this.#settle(forwarding.exchange.account, forwarding.progress.runs);
    }
  }

  /** Corrects the account's usage, which was charged one run on arrival. */
  #settle(account: ClientAccount | undefined, runs: number): void {
    if (account !== undefined) {
      this.#options.accounts.settle(account, runs);
    }
  }

  async #sendToTargets(forwarding: ForwardingState): Promise<void> {
    const { exchange, service, progress, repeatPermit, transfer } = forwarding;
    const { reachability, events, state, clock } = this.#options;
    for (;;) {
      const isAllowed = await isSendAllowed(forwarding, this.#options);
      const maySend = isAllowed && progress.cancelledBy === undefined;
      const target = maySend ? this.#chooseTarget(forwarding) : undefined;
      if (target === undefined) {
        await this.#finishWithoutTarget(forwarding, maySend);
        return;
      }
      this.#count(forwarding);
      progress.tried.add(target.id);
      const send = new TargetSend({
        ...this.#options,
        exchange,
        service,
        target,
        transfer,
        writeHead: (routed, head) => {
          this.#options.responses.writeHead(routed, head);
        },
      });
      forwarding.send = send;
      const verdict = await send.verdict;
      const next = recordVerdict(forwarding, verdict);
      if (verdict.kind === 'answered' && next === 'deliver') {
        this.#options.responses.deliver(
          exchange,
          verdict.response,
          originOf({
            target,
            send,
            attempts: progress.attempts,
            arrivedAt: exchange.arrivedAt,
            now: clock.now(),
          }),
        );
        return;
      }
      const isPassing = transfer?.isPassing === true;
      const isWanted = !isPassing && next !== 'give-up';
      const mayTryAgain =
        isWanted && repeatPermit.mayTryAgain(repeatCauseOf(verdict), next === 'try-again');
      events.write(
        failedSendEvent({
          exchange,
          target,
          verdict,
          trace: send.trace,
          attempt: progress.attempts,
          sentAt: send.sentAt,
          confirmedAt: state.confirmedAt,
          now: clock.now(),
          deniedBy: isWanted && !mayTryAgain ? service.retryBudget.state : undefined,
        }),
      );
      if (isPassing) {
        return;
      }
      const isCut = (send.isAbandoned || isUnconnected(verdict)) && reachability.isSilent;
      const isUnsentToAll = isCut && progress.attempts === 0 && next === 'give-up';
      if (isUnsentToAll || (mayTryAgain && isCut && reachability.hasUnreachableDomains)) {
        // Paths to other failure domains are likely to be broken, too, though not found so yet.
        await this.#handOver(forwarding);
        return;
      }
      if (!mayTryAgain) {
        this.#finish(forwarding);
        return;
      }
    }
  }

  /** Counts the request as demand for its service, once. */
  #count(forwarding: ForwardingState): void {
    if (!forwarding.isCounted) {
      forwarding.isCounted = true;
      forwarding.service.requestRate.record();
    }
  }

  /** Hands the request over if targets that may serve it are unreachable, else refuses it. */
  async #finishWithoutTarget(forwarding: ForwardingState, maySend: boolean): Promise<void> {
    const { exchange, service, progress } = forwarding;
    const reach = maySend ? service.reachOf(exchange.route) : 'all';
    if (reach === 'none') {
      progress.recordRefusal(targetsUnreachable());
    }
    if (reach === 'all') {
      this.#count(forwarding);
      this.#finish(forwarding);
    } else {
      await this.#handOver(forwarding);
    }
  }

  async #handOver(forwarding: ForwardingState): Promise<void> {
    const { exchange, service, progress, repeatPermit } = forwarding;
    const { handovers, responses } = this.#options;
    // The host that sends to a target charges the account.
    this.#settleOnce(forwarding);
    const mayHandOver = exchange.handover === undefined && progress.cancelledBy === undefined;
    if (mayHandOver) {
      // The other host may send the request to a target by the permit of this one.
      repeatPermit.use();
    }
    const response = mayHandOver
      ? await handovers.run({
          exchange,
          progress,
          service: service.name,
          onSend: (send) => {
            forwarding.send = send;
          },
          mayRepeat: () => {
            const mayTryAgain = repeatPermit.mayTryAgain('target-failed', false);
            repeatPermit.use();
            return mayTryAgain;
          },
        })
      : undefined;
    if (response === undefined) {
      this.#finish(forwarding);
    } else {
      responses.deliver(exchange, response, originElsewhere(progress.attempts));
    }
  }

  #chooseTarget({ exchange, service, progress }: ForwardingState): TargetState | undefined {
    const { largeHosts, ownName, state } = this.#options;
    const { route } = exchange;
    return service.select({
      route,
      key: affinityKeyOf(exchange),
      tried: progress.tried,
      lowestPriority: state.active?.lowestPriority ?? route.priority,
      ownName,
      coldSenders: largeHosts(),
    });
  }

  /** Sends the final response after the last send. */
  #finish(forwarding: ForwardingState): void {
    const { exchange, service, progress } = forwarding;
    const { responses, state } = this.#options;
    if (progress.cancelledBy === 'caller-gone') {
      return;
    }
    const { outcome } = progress;
    if ('reason' in outcome) {
      const { route } = exchange;
      const lowestPriority = state.active?.lowestPriority ?? route.priority;
      const refusal = withExpectedWait(outcome, { route, service, lowestPriority });
      responses.refuse(exchange, refusal, progress.attempts);
    } else {
      responses.deliver(exchange, outcome, originElsewhere(progress.attempts));
    }
  }
}
