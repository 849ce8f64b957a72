import type { ServiceTargets, TargetLimits, TargetState } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../event-log.js';
import type { TargetReachability } from '../reachability/target-reachability.js';
import type { SuspectController } from '../suspects/suspect-controller.js';
import type { TargetCrashDetector } from '../suspects/target-crash-detector.js';
import type { RoutedExchange } from './caller-exchange.js';
import { affinityKeyOf } from './caller-exchange.js';
import type { ResponseMetadata, HeaderCodec } from './header-codec.js';
import { forwardableHeaders } from './forwardable-headers.js';
import type { AnswerTransfer } from '../transfers/answer-transfer.js';
import type {
  ResponseHead,
  ResponseReceiver,
  SendHandle,
  TargetClient,
  TargetResponse,
} from './target-client.js';
import { EndlessAnswer, NoRoomForAnswer } from './endless-answer.js';
import type { StrayRecorder } from './stray-recorder.js';
import { judgeRefusal } from './judge-refusal.js';
import type { ExpectedRequest } from './not-run-proof.js';
import { provesNotRun } from './not-run-proof.js';
import { findStray, StrayResponse } from './stray-response.js';
import type { SendTrace, TracedHead } from './send-trace.js';
import { traceOf } from './send-trace.js';
import { SendNotAllowed } from './target-client.js';
import { TargetExclusion } from './target-exclusion.js';
import type { TargetRefusals } from './target-refusals.js';
import type { TargetSignalRecorder } from './target-signal-recorder.js';

/** Verdict on one send to one target. */
export type SendVerdict =
  /** Complete response of the target. */
  | {
      readonly kind: 'answered';
      readonly response: TargetResponse;
      readonly metadata: ResponseMetadata;
    }
  /** The target has not run the request: nothing was sent, or the target refused it. */
  | {
      readonly kind: 'not-run';
      readonly reason: 'connect-failed' | 'target-refused' | 'targets-rest' | 'targets-limited';
      readonly detail: string;
    }
  /** Bytes were sent, but no usable response was received. */
  | { readonly kind: 'unknown'; readonly reason: 'target-failed'; readonly detail: string }
  /** Cancelled by this host. */
  | { readonly kind: 'ended'; readonly cause: CancelCause; readonly wasSent: boolean };

/** Reason why this host cancels a send. */
export type CancelCause = 'deadline' | 'caller-gone';

/** Time that a target takes to refuse a request, on top of the round trip. */
const REFUSAL_MILLISECONDS = 40;
/** Longest delay of a cancellation; targets must see it within half a second of the disconnect. */
const MAX_CANCEL_DELAY_MILLISECONDS = 200;

/** A successful response lacks the target's signature. */
class UnsignedResponse extends Error {}

/** Error codes of the transport for a connection that closed before the end of the response. */
const CONNECTION_LOSS_CODES: ReadonlySet<unknown> = new Set([
  'UND_ERR_SOCKET',
  'ECONNRESET',
  'EPIPE',
]);

/** Checks whether a response must be signed; 304 carries no body and needs no signature. */
const isSuccess = (status: number): boolean => status >= 200 && status < 300;

export interface TargetSendOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly client: TargetClient;
  readonly crashDetector: TargetCrashDetector;
  readonly suspects: SuspectController;
  readonly reachability: Pick<
    TargetReachability,
    'recordSend' | 'recordAnswer' | 'recordEnd' | 'recordConnectFailure' | 'isHeard'
  >;
  readonly signalRecorder: TargetSignalRecorder;
  readonly strayRecorder: StrayRecorder;
  readonly metrics: { readonly targetRefusals: Pick<TargetRefusals, 'record'> };
  readonly limits: Pick<TargetLimits, 'tryAcquire' | 'release'>;
  readonly codec: HeaderCodec;
  readonly service: ServiceTargets;
  readonly target: TargetState;
  readonly exchange: RoutedExchange;
  /** Passes the answer on as it comes; absent if it is kept whole. */
  readonly transfer?: AnswerTransfer | undefined;
  /** Writes the head of an answer that is passed on as it comes. */
  readonly writeHead: (exchange: RoutedExchange, head: ResponseHead) => void;
}

/** Sends a request to one target once and updates the target's state from the outcome. */
export class TargetSend {
  readonly verdict: Promise<SendVerdict>;
  readonly sentAt: number;
  readonly #options: TargetSendOptions;
  readonly #send: SendHandle;
  readonly #exclusion: TargetExclusion;
  /** Load per slot of the target before this request. */
  readonly loadPerSlot: number;
  /** Whether the target was expected to have the object cached. */
  readonly isKnownObject: boolean;
  /** True if this send holds a permit of the target's limit. */
  #holdsPermit: boolean;
  readonly #usesOwnConnection: boolean;
  #cancelledBy: CancelCause | undefined;
  #isAbandoned = false;
  #metadata: ResponseMetadata | undefined;
  #head: TracedHead | undefined;
  #clearCancelTimer: (() => void) | undefined;

  constructor(options: TargetSendOptions) {
    this.#options = options;
    this.#exclusion = new TargetExclusion(options);
    this.sentAt = options.clock.now();
    const { target, signalRecorder } = options;
    signalRecorder.recordSend(target);
    this.#holdsPermit = target.signals.limit.perSecond !== undefined;
    this.loadPerSlot = target.load(this.sentAt) / target.record.slots;
    this.isKnownObject = target.hasCached(affinityKeyOf(options.exchange), this.sentAt);
    target.inFlight++;
    options.reachability.recordSend(target);
    this.#usesOwnConnection = options.service.isConnectionReuseDisabled;
    this.#send = options.client.send({
      address: target.record.address,
      method: options.exchange.request.method ?? 'GET',
      path: options.exchange.path,
      headers: this.#headers(),
      body: options.exchange.body,
      usesOwnConnection: this.#usesOwnConnection,
      isStillAllowed: () => this.#isStillAllowed(),
      checkHead: (status, headers) => this.#checkHead(status, headers),
      receiver: this.#receiver(),
      caller: options.exchange.response,
    });
    this.verdict = this.#judge();
  }

  /** Cancels the send; after a disconnect a refusal that is on its way is still awaited. */
  cancel(cause: CancelCause): void {
    this.#cancelledBy ??= cause;
    const delay = cause === 'caller-gone' ? this.#cancelDelayMilliseconds() : 0;
    if (delay <= 0) {
      this.#send.cancel();
      return;
    }
    this.#clearCancelTimer ??= this.#options.clock.after(delay, () => {
      this.#send.cancel();
    });
  }

  /** Where it went and what came back, for the log. */
  get trace(): SendTrace {
    return traceOf(this.#send.connectionUse, this.#head);
  }

  /** Whether it was given up since its target could not be heard. */
  get isAbandoned(): boolean {
    return this.#isAbandoned;
  }

  /** Gives the send up if its target cannot be heard and has not begun to answer. */
  abandonIfUnheard(): void {
    const { reachability, target } = this.#options;
    if (this.#metadata === undefined && !reachability.isHeard(target)) {
      this.#isAbandoned = true;
      this.#send.cancel();
    }
  }

  /**
   * Delay of a cancellation after the caller has disconnected. A refusal that is on its way is
   * still received, so that a remote target's requested back-off ("rest") is not missed when
   * callers give up before one round trip.
   */
  #cancelDelayMilliseconds(): number {
    const { clock, service, target } = this.#options;
    const { startedAt } = this.#send;
    if (startedAt === undefined) {
      return 0;
    }
    const refusalMilliseconds =
      service.roundTripTimes.of(target.record.failureDomain) + REFUSAL_MILLISECONDS;
    return startedAt + Math.min(MAX_CANCEL_DELAY_MILLISECONDS, refusalMilliseconds) - clock.now();
  }

  /**
   * Checked once a connection is available: the target may have requested rest or advertised a
   * limit since it was selected.
   */
  #isStillAllowed(): boolean {
    const { clock, limits, target } = this.#options;
    if (target.isResting(clock.now())) {
      return false;
    }
    this.#holdsPermit ||= target.signals.limit.perSecond !== undefined && limits.tryAcquire(target);
    return this.#holdsPermit || target.signals.limit.perSecond === undefined;
  }

  #headers(): Record<string, string | string[]> {
    const { codec, exchange, target } = this.#options;
    return Object.assign(
      forwardableHeaders(exchange.request.headers, codec.consumedHeaders),
      codec.encodeForward({
        deadlineMilliseconds: Math.max(1, Math.floor(exchange.deadlineAt - this.sentAt)),
        targetId: target.id,
        accountName: exchange.account?.name,
      }),
    );
  }

  /** Receiver of a successful answer that may be passed on as it comes. */
  #receiver(): ResponseReceiver | undefined {
    const { exchange, transfer, writeHead } = this.#options;
    return transfer === undefined
      ? undefined
      : {
          begin: (head, source) => {
            if (!isSuccess(head.status)) {
              return false;
            }
            transfer.begin(source, () => {
              writeHead(exchange, head);
            });
            return true;
          },
          push: (chunk) => {
            transfer.push(chunk);
          },
          complete: () => transfer.complete(),
          breakOff: () => {
            transfer.breakOff();
          },
        };
  }

  get #expectedRequest(): ExpectedRequest {
    const { requestId } = this.#options.exchange;
    return { requestId, isFirstOnConnection: this.#usesOwnConnection };
  }

  #checkHead(status: number, headers: TargetResponse['headers']): Error | undefined {
    const { codec, signalRecorder, strayRecorder, service, target } = this.#options;
    const metadata = codec.decodeResponse(status, headers);
    this.#head = { status, metadata };
    // Whatever the response says, the path to the target works.
    this.#options.reachability.recordAnswer(target);
    const stray = findStray(status, metadata, this.#expectedRequest);
    if (stray !== undefined) {
      strayRecorder.record(service, target, stray);
      return stray;
    }
    this.#options.metrics.targetRefusals.record(status, metadata);
    this.#metadata = metadata;
    signalRecorder.recordMark(service, target, metadata);
    if (metadata.isOtherTarget) {
      return undefined;
    }
    signalRecorder.recordResponse(service, target, metadata, this.sentAt);
    return isSuccess(status) && !metadata.isSigned
      ? new UnsignedResponse('a success without the target’s mark')
      : undefined;
  }

  async #judge(): Promise<SendVerdict> {
    const { clock, exchange, target, service, reachability } = this.#options;
    const outcome = await this.#send.outcome;
    this.#clearCancelTimer?.();
    target.inFlight--;
    reachability.recordEnd(target);
    const now = clock.now();
    if (outcome.kind !== 'answered') {
      return this.#judgeFailure(outcome.kind === 'not-sent', outcome.error);
    }
    const { response } = outcome;
    const metadata = this.#metadataOf(response);
    const { status } = response;
    const isProven = provesNotRun(status, metadata, this.#expectedRequest);
    if (!metadata.isOtherTarget) {
      this.#recordCondition(metadata, now);
    }
    if (!isProven && !metadata.isOtherTarget) {
      this.#recordRun(response);
    }
    const possible = { status, metadata, isProven };
    const refusal = judgeRefusal(possible, { target, exclusion: this.#exclusion, now });
    if (refusal !== undefined) {
      return refusal;
    }
    service.recordResponse(target, {
      route: exchange.route,
      key: affinityKeyOf(exchange),
      milliseconds: now - this.sentAt,
      loadPerSlot: this.loadPerSlot,
    });
    return { kind: 'answered', response, metadata };
  }

  /** Records the load and the warm-up time that the target reports. */
  #recordCondition({ load, coldMilliseconds }: ResponseMetadata, now: number): void {
    const { target } = this.#options;
    if (load !== undefined) {
      target.recordLoad(load, now);
    }
    if (coldMilliseconds !== undefined) {
      target.recordCold(coldMilliseconds, now);
    }
  }

  #metadataOf({ status, headers }: TargetResponse): ResponseMetadata {
    return this.#metadata ?? this.#options.codec.decodeResponse(status, headers);
  }

  /** Records a run; a response that ends with its connection does not clear a suspect request. */
  #recordRun({ isDelimited }: TargetResponse): void {
    const { exchange, target, crashDetector, suspects } = this.#options;
    if (crashDetector.retractCrash(target, this.sentAt)) {
      suspects.recordAlive(target.incarnationId);
    }
    const fingerprint = isDelimited ? suspects.findFingerprint(exchange) : undefined;
    if (fingerprint !== undefined) {
      suspects.recordAnswer(fingerprint);
    }
  }

  #judgeFailure(isUnsent: boolean, error: NodeJS.ErrnoException): SendVerdict {
    const { clock, target, service, exchange, crashDetector, limits } = this.#options;
    if (isUnsent && this.#holdsPermit) {
      limits.release(target);
    }
    if (this.#cancelledBy !== undefined) {
      if (this.#cancelledBy === 'deadline' && target.lastResponseAt < this.sentAt) {
        this.#exclusion.eject('no response before the deadline, nor to other requests since');
      }
      return { kind: 'ended', cause: this.#cancelledBy, wasSent: !isUnsent };
    }
    if (this.#isAbandoned) {
      const detail = 'the path to the target broke';
      return isUnsent
        ? { kind: 'not-run', reason: 'connect-failed', detail }
        : { kind: 'unknown', reason: 'target-failed', detail };
    }
    if (error instanceof SendNotAllowed) {
      const reason = target.isResting(clock.now()) ? 'targets-rest' : 'targets-limited';
      return { kind: 'not-run', reason, detail: error.message };
    }
    if (isUnsent) {
      this.#options.reachability.recordConnectFailure(target);
      this.#exclusion.eject(error.message);
      return { kind: 'not-run', reason: 'connect-failed', detail: error.message };
    }
    const wasPaused = this.#options.transfer?.wasPaused === true;
    if (error instanceof NoRoomForAnswer || (wasPaused && !(error instanceof EndlessAnswer))) {
      // Targets cut answers off that are not read for long, which is not their failure.
      return { kind: 'unknown', reason: 'target-failed', detail: error.message };
    }
    if (CONNECTION_LOSS_CODES.has(error.code)) {
      crashDetector.recordConnectionLoss(service, target, exchange);
    }
    if (error instanceof StrayResponse) {
      this.#exclusion.disableConnectionReuse(error.message);
    } else {
      this.#exclusion.eject(error.message);
    }
    return { kind: 'unknown', reason: 'target-failed', detail: error.message };
  }
}

/** Checks whether the connection to the target failed. */
export function isUnconnected(verdict: SendVerdict): boolean {
  return verdict.kind === 'not-run' && verdict.reason === 'connect-failed';
}
