import type { ServiceTargets, TargetLimits, TargetState } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { SuspectController } from '../suspects/suspect-controller.js';
import type { TargetCrashDetector } from '../suspects/target-crash-detector.js';
import type { RoutedExchange } from './caller-exchange.js';
import { affinityKeyOf } from './caller-exchange.js';
import type { ResponseMetadata, HeaderCodec } from './header-codec.js';
import { forwardableHeaders } from './forwardable-headers.js';
import type { SendHandle, TargetResponse, TargetClient } from './target-client.js';
import { SendNotAllowed } from './target-client.js';
import type { TargetSignalRecorder } from './target-signal-recorder.js';

/** What one send to one target came to. */
export type SendVerdict =
  /** The target's own answer, whole; it is to be passed on. */
  | { readonly kind: 'answered'; readonly answer: TargetResponse; readonly facts: ResponseMetadata }
  /** Certainly not run: nothing was sent, or the target said so. */
  | {
      readonly kind: 'not-run';
      readonly reason: 'connect-failed' | 'target-refused' | 'targets-rest' | 'targets-limited';
      readonly detail: string;
    }
  /** Bytes left and no usable answer came. */
  | { readonly kind: 'unknown'; readonly reason: 'target-failed'; readonly detail: string }
  /** Ended from this side, because of the time or the caller. */
  | { readonly kind: 'ended'; readonly cause: CancelCause; readonly wasSent: boolean };

/** Why a send is ended from this side. */
export type CancelCause = 'deadline' | 'caller-gone';

/** What a target that refuses takes for it, beside the way there and back. */
const REFUSAL_MILLISECONDS = 40;
/** Longest that a send without a caller goes on: targets are to stop within half a second of the caller's leaving. */
const MOST_HEARING_OUT_MILLISECONDS = 200;

/** The answer to some other request. */
class StrayAnswer extends Error {}
/** A success that the target did not sign. */
class UnsignedAnswer extends Error {}

/** How the transport calls a connection that closed before the answer was whole. */
const CONNECTION_LOSSES: ReadonlySet<unknown> = new Set(['UND_ERR_SOCKET', 'ECONNRESET', 'EPIPE']);

/** Cached answers that a caller revalidates are no successes with a body. */
const isSuccess = (status: number): boolean => status >= 200 && status < 300;

export interface TargetSendOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly client: TargetClient;
  /** Told of answers that were lost. */
  readonly crashDetector: TargetCrashDetector;
  /** Told of answers to requests under which targets ended. */
  readonly suspects: SuspectController;
  /** Told what targets say of themselves. */
  readonly signalRecorder: TargetSignalRecorder;
  /** Let it be sent, where the target named a limit by then. */
  readonly limits: Pick<TargetLimits, 'tryAcquire' | 'release'>;
  readonly codec: HeaderCodec;
  readonly service: ServiceTargets;
  readonly target: TargetState;
  readonly exchange: RoutedExchange;
}

/** One send of a request to one target, and what is learned about the target from it. */
export class TargetSend {
  readonly verdict: Promise<SendVerdict>;
  readonly sentAt: number;
  readonly #options: TargetSendOptions;
  readonly #send: SendHandle;
  /** The target's load before this request, for each of its slots. */
  readonly #loadPerSlot: number;
  /** Whether it was let be sent under the target's limit. */
  #isInLimit: boolean;
  #endedBy: CancelCause | undefined;
  #facts: ResponseMetadata | undefined;
  #cancelHearingOut: (() => void) | undefined;

  constructor(options: TargetSendOptions) {
    this.#options = options;
    this.sentAt = options.clock.now();
    const { target, signalRecorder: words } = options;
    words.recordSend(target);
    this.#isInLimit = target.signals.limit.perSecond !== undefined;
    this.#loadPerSlot = target.load(this.sentAt) / target.record.slots;
    target.inFlight++;
    this.#send = options.client.send({
      address: target.record.address,
      method: options.exchange.request.method ?? 'GET',
      path: options.exchange.path,
      headers: this.#headers(),
      body: options.exchange.body,
      usesOwnConnection: options.service.isConnectionReuseDisabled,
      isStillAllowed: () => this.#isWanted(),
      checkHead: (status, headers) => this.#examine(status, headers),
    });
    this.verdict = this.#judge();
  }

  /** Ends it from this side. */
  cancel(cause: CancelCause): void {
    this.#endedBy ??= cause;
    const wait = cause === 'caller-gone' ? this.#hearingOutMilliseconds() : 0;
    if (wait <= 0) {
      this.#send.cancel();
      return;
    }
    this.#cancelHearingOut ??= this.#options.clock.after(wait, () => {
      this.#send.cancel();
    });
  }

  /**
   * How much longer a send whose caller has left goes on, so that a refusal which is on its way is read: a target that asked
   * for rest is not asked again and again by callers that leave sooner than a far target's answer takes.
   */
  #hearingOutMilliseconds(): number {
    const { clock, service, target } = this.#options;
    const { startedAt } = this.#send;
    if (startedAt === undefined) {
      return 0;
    }
    const way = service.roundTripTimes.of(target.record.failureDomain) + REFUSAL_MILLISECONDS;
    return startedAt + Math.min(MOST_HEARING_OUT_MILLISECONDS, way) - clock.now();
  }

  /**
   * Looked at when it has its connection, up to 0.3 s after the choice. The target may have asked for rest meanwhile, or named a
   * limit, which then counts for this send too.
   */
  #isWanted(): boolean {
    const { clock, limits, target } = this.#options;
    if (target.isResting(clock.now())) {
      return false;
    }
    this.#isInLimit ||= target.signals.limit.perSecond !== undefined && limits.tryAcquire(target);
    return this.#isInLimit || target.signals.limit.perSecond === undefined;
  }

  #headers(): Record<string, string | string[]> {
    const { codec: dialect, exchange, target } = this.#options;
    return Object.assign(
      forwardableHeaders(exchange.request.headers, dialect.consumedHeaders),
      dialect.encodeForward({
        deadlineMilliseconds: Math.max(1, Math.floor(exchange.deadlineAt - this.sentAt)),
        targetId: target.id,
        accountName: exchange.account?.name,
      }),
    );
  }

  #examine(status: number, headers: TargetResponse['headers']): Error | undefined {
    const { codec: dialect, exchange, signalRecorder: words, service, target } = this.#options;
    const facts = dialect.decodeResponse(status, headers);
    this.#facts = facts;
    if (facts.isOtherTarget) {
      return undefined;
    }
    if (!facts.isNotRun && facts.requestId !== exchange.requestId) {
      return new StrayAnswer(`the answer is to request ${facts.requestId ?? 'without id'}`);
    }
    words.recordResponse(service, target, facts, this.sentAt);
    return !facts.isNotRun && isSuccess(status) && !facts.isSigned
      ? new UnsignedAnswer('a success without the target’s mark')
      : undefined;
  }

  async #judge(): Promise<SendVerdict> {
    const { clock, exchange, target, service } = this.#options;
    const outcome = await this.#send.outcome;
    this.#cancelHearingOut?.();
    target.inFlight--;
    const now = clock.now();
    if (outcome.kind !== 'answered') {
      return this.#judgeFailure(outcome.kind === 'not-sent', outcome.error);
    }
    const { answer } = outcome;
    const facts = this.#factsOf(answer);
    if (facts.load !== undefined) {
      target.recordLoad(facts.load, now);
    }
    if (facts.coldMilliseconds !== undefined) {
      target.recordCold(facts.coldMilliseconds, now);
    }
    if (facts.isOtherTarget) {
      target.recordReplaced();
      return { kind: 'not-run', reason: 'target-refused', detail: 'another target answers there' };
    }
    if (facts.isNotRun) {
      target.recordShed(now);
      return { kind: 'not-run', reason: 'target-refused', detail: `status ${answer.status}` };
    }
    this.#recordRun(answer);
    service.recordResponse(target, {
      route: exchange.route,
      key: affinityKeyOf(exchange),
      milliseconds: now - this.sentAt,
      loadPerSlot: this.#loadPerSlot,
    });
    return { kind: 'answered', answer, facts };
  }

  /** Read when the answer began. */
  #factsOf({ status, headers }: TargetResponse): ResponseMetadata {
    return this.#facts ?? this.#options.codec.decodeResponse(status, headers);
  }

  /** The target has run the request and lives. An answer that ends with its connection may be its last. */
  #recordRun({ isDelimited }: TargetResponse): void {
    const { exchange, target, crashDetector: ends, suspects } = this.#options;
    if (ends.retractCrash(target, this.sentAt)) {
      suspects.recordAlive(target.incarnationId);
    }
    const fingerprint = isDelimited ? suspects.findFingerprint(exchange) : undefined;
    if (fingerprint !== undefined) {
      suspects.recordAnswer(fingerprint);
    }
  }

  #judgeFailure(isUnsent: boolean, error: NodeJS.ErrnoException): SendVerdict {
    const { clock, target, service, exchange, crashDetector: ends, limits } = this.#options;
    if (isUnsent && this.#isInLimit) {
      limits.release(target);
    }
    if (this.#endedBy !== undefined) {
      if (this.#endedBy === 'deadline' && target.lastResponseAt < this.sentAt) {
        this.#eject('no answer in time, and none since it was sent');
      }
      return { kind: 'ended', cause: this.#endedBy, wasSent: !isUnsent };
    }
    if (error instanceof SendNotAllowed) {
      const reason = target.isResting(clock.now()) ? 'targets-rest' : 'targets-limited';
      return { kind: 'not-run', reason, detail: error.message };
    }
    if (isUnsent) {
      this.#eject(error.message);
      return { kind: 'not-run', reason: 'connect-failed', detail: error.message };
    }
    if (CONNECTION_LOSSES.has(error.code)) {
      ends.recordConnectionLoss(service, target, exchange);
    }
    if (error instanceof StrayAnswer) {
      this.#distrust(error.message);
    } else {
      this.#eject(error.message);
    }
    return { kind: 'unknown', reason: 'target-failed', detail: error.message };
  }

  /** Keeps the target out of choice for a while. */
  #eject(reason: string): void {
    const { service, target } = this.#options;
    const milliseconds = service.recordFailure(target);
    this.#log('failing', `left alone for ${milliseconds} ms: ${reason}`);
  }

  /** Gives requests to the service's targets a connection each for a while. */
  #distrust(reason: string): void {
    if (this.#options.service.disableConnectionReuse()) {
      this.#log('distrusted', `a connection for each request of the service: ${reason}`);
    }
  }

  #log(state: 'failing' | 'distrusted', detail: string): void {
    const { events, service, target } = this.#options;
    events.write({ event: 'target', target: target.id, service: service.name, state, detail });
  }
}
