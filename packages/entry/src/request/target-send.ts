import type { ServiceTargets, TargetLimits, TargetState } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { SuspectDuty } from '../suspects/suspect-duty.js';
import type { TargetEnds } from '../suspects/target-ends.js';
import type { RoutedExchange } from './caller-exchange.js';
import { keyOf } from './caller-exchange.js';
import type { AnswerFacts, HeaderDialect } from './dialect.js';
import { passOnHeaders } from './pass-on-headers.js';
import type { Send, TargetAnswer, TargetClient } from './target-client.js';
import { SendUnwanted } from './target-client.js';
import type { TargetWords } from './target-words.js';

/** What one send to one target came to. */
export type SendVerdict =
  /** The target's own answer, whole; it is to be passed on. */
  | { readonly kind: 'answered'; readonly answer: TargetAnswer; readonly facts: AnswerFacts }
  /** Certainly not run: nothing was sent, or the target said so. */
  | {
      readonly kind: 'not-run';
      readonly reason: 'connect-failed' | 'target-refused' | 'targets-rest' | 'targets-limited';
      readonly detail: string;
    }
  /** Bytes left and no usable answer came. */
  | { readonly kind: 'unknown'; readonly reason: 'target-failed'; readonly detail: string }
  /** Ended from this side, because of the time or the caller. */
  | { readonly kind: 'ended'; readonly cause: EndCause; readonly wasSent: boolean };

/** Why a send is ended from this side. */
export type EndCause = 'deadline' | 'caller-gone';

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
  readonly ends: TargetEnds;
  /** Told of answers to requests under which targets ended. */
  readonly suspects: SuspectDuty;
  /** Told what targets say of themselves. */
  readonly words: TargetWords;
  /** Let it be sent, where the target named a limit by then. */
  readonly limits: Pick<TargetLimits, 'take' | 'giveBack'>;
  readonly dialect: HeaderDialect;
  readonly service: ServiceTargets;
  readonly target: TargetState;
  readonly exchange: RoutedExchange;
}

/** One send of a request to one target, and what is learned about the target from it. */
export class TargetSend {
  readonly verdict: Promise<SendVerdict>;
  readonly sentAt: number;
  readonly #options: TargetSendOptions;
  readonly #send: Send;
  /** The target's load before this request, for each of its slots. */
  readonly #loadPerSlot: number;
  /** Whether it was let be sent under the target's limit. */
  #isInLimit: boolean;
  #endedBy: EndCause | undefined;
  #facts: AnswerFacts | undefined;
  #cancelHearingOut: (() => void) | undefined;

  constructor(options: TargetSendOptions) {
    this.#options = options;
    this.sentAt = options.clock.now();
    const { target, words } = options;
    words.recordSend(target);
    this.#isInLimit = target.word.limit.perSecond !== undefined;
    this.#loadPerSlot = target.load(this.sentAt) / target.record.slots;
    target.inFlight++;
    this.#send = options.client.send({
      address: target.record.address,
      method: options.exchange.request.method ?? 'GET',
      path: options.exchange.path,
      headers: this.#headers(),
      body: options.exchange.body,
      isAlone: options.service.isDistrusted,
      isWanted: () => this.#isWanted(),
      examine: (status, headers) => this.#examine(status, headers),
    });
    this.verdict = this.#judge();
  }

  /** Ends it from this side. */
  end(cause: EndCause): void {
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
    const way = service.roundTrips.of(target.record.failureDomain) + REFUSAL_MILLISECONDS;
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
    this.#isInLimit ||= target.word.limit.perSecond !== undefined && limits.take(target);
    return this.#isInLimit || target.word.limit.perSecond === undefined;
  }

  #headers(): Record<string, string | string[]> {
    const { dialect, exchange, target } = this.#options;
    return Object.assign(
      passOnHeaders(exchange.request.headers, dialect.callerHeaders),
      dialect.instruct({
        deadlineMilliseconds: Math.max(1, Math.floor(exchange.endAt - this.sentAt)),
        targetId: target.id,
        accountName: exchange.account?.name,
      }),
    );
  }

  #examine(status: number, headers: TargetAnswer['headers']): Error | undefined {
    const { dialect, exchange, words, service, target } = this.#options;
    const facts = dialect.readAnswer(status, headers);
    this.#facts = facts;
    if (facts.isOtherTarget) {
      return undefined;
    }
    if (!facts.isNotRun && facts.requestId !== exchange.requestId) {
      return new StrayAnswer(`the answer is to request ${facts.requestId ?? 'without id'}`);
    }
    words.take(service, target, facts, this.sentAt);
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
      target.recordOtherTarget();
      return { kind: 'not-run', reason: 'target-refused', detail: 'another target answers there' };
    }
    if (facts.isNotRun) {
      target.recordShed(now);
      return { kind: 'not-run', reason: 'target-refused', detail: `status ${answer.status}` };
    }
    this.#recordRun(answer);
    service.recordAnswer(target, {
      route: exchange.route,
      key: keyOf(exchange),
      milliseconds: now - this.sentAt,
      loadPerSlot: this.#loadPerSlot,
    });
    return { kind: 'answered', answer, facts };
  }

  /** Read when the answer began. */
  #factsOf({ status, headers }: TargetAnswer): AnswerFacts {
    return this.#facts ?? this.#options.dialect.readAnswer(status, headers);
  }

  /** The target has run the request and lives. An answer that ends with its connection may be its last. */
  #recordRun({ isDelimited }: TargetAnswer): void {
    const { exchange, target, ends, suspects } = this.#options;
    if (ends.takeBack(target, this.sentAt)) {
      suspects.recordLife(target.start);
    }
    const fingerprint = isDelimited ? suspects.find(exchange) : undefined;
    if (fingerprint !== undefined) {
      suspects.recordAnswer(fingerprint);
    }
  }

  #judgeFailure(isUnsent: boolean, error: NodeJS.ErrnoException): SendVerdict {
    const { clock, target, service, exchange, ends, limits } = this.#options;
    if (isUnsent && this.#isInLimit) {
      limits.giveBack(target);
    }
    if (this.#endedBy !== undefined) {
      if (this.#endedBy === 'deadline' && target.answeredAt < this.sentAt) {
        this.#eject('no answer in time, and none since it was sent');
      }
      return { kind: 'ended', cause: this.#endedBy, wasSent: !isUnsent };
    }
    if (error instanceof SendUnwanted) {
      const reason = target.isResting(clock.now()) ? 'targets-rest' : 'targets-limited';
      return { kind: 'not-run', reason, detail: error.message };
    }
    if (isUnsent) {
      this.#eject(error.message);
      return { kind: 'not-run', reason: 'connect-failed', detail: error.message };
    }
    if (CONNECTION_LOSSES.has(error.code)) {
      ends.recordLoss(service, target, exchange);
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
    if (this.#options.service.distrust()) {
      this.#log('distrusted', `a connection for each request of the service: ${reason}`);
    }
  }

  #log(state: 'failing' | 'distrusted', detail: string): void {
    const { events, service, target } = this.#options;
    events.write({ event: 'target', target: target.id, service: service.name, state, detail });
  }
}
