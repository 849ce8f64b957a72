import type { ServiceTargets, TargetState } from '@ferrylock/routing';
import { FirstOccurrences } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { ResponseMetadata } from './header-codec.js';

/** The service whose target speaks. */
type NamedService = Pick<ServiceTargets, 'name'>;

/**
 * Shorter rests are counted and have no line, so that a target brings about two lines a second at most; these are not
 * left out as other lines of requests are, since they say why requests are refused.
 */
const SHORTEST_LOGGED_MILLISECONDS = 500;

/** What targets say of themselves in their answers. */
export type ReportedSignals = Pick<
  ResponseMetadata,
  'isLeaving' | 'restMilliseconds' | 'limitPerSecond' | 'unknownHeaders'
>;

export interface TargetSignalRecorderOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** A target named a limit, another one than before, or none any more. */
  readonly onLimitChange: (target: TargetState) => void;
}

/** Takes what targets say of themselves in their answers, and writes it down. */
export class TargetSignalRecorder {
  /** Rests that targets asked this host for; one that is asked for again before its end counts once. */
  rests = 0;
  /** Targets that said in an answer that they leave. */
  leaving = 0;
  /** Requests that were sent to a target that had asked for rest, or said that it leaves. */
  unwantedSends = 0;
  /** Limits that targets named, raised or lowered. */
  limits = 0;
  /** Requests that were sent to targets while these named a limit. */
  limitedSends = 0;
  readonly #unknownHeaders = new FirstOccurrences();
  readonly #options: TargetSignalRecorderOptions;

  constructor(options: TargetSignalRecorderOptions) {
    this.#options = options;
  }

  /** A request leaves for a target. */
  recordSend({ signals: word }: TargetState): void {
    if (word.isLeaving || word.isResting(this.#options.clock.now())) {
      this.unwantedSends++;
    }
    if (word.limit.perSecond !== undefined) {
      this.limitedSends++;
    }
  }

  /**
   * An answer of the target begins.
   *
   * @param sentAt - when the request was sent, in monotonic milliseconds
   */
  recordResponse(
    service: NamedService,
    target: TargetState,
    said: ReportedSignals,
    sentAt: number,
  ): void {
    if (said.isLeaving && target.signals.recordLeaving()) {
      this.leaving++;
      this.#log(service, target, 'leaving', 'said in an answer');
    }
    if (said.restMilliseconds !== undefined) {
      this.#takeRest(service, target, said.restMilliseconds);
    }
    this.#takeLimit(service, target, said.limitPerSecond, sentAt);
    for (const header of said.unknownHeaders) {
      this.#takeUnknown(service, target, header);
    }
  }

  #takeLimit(
    service: NamedService,
    target: TargetState,
    perSecond: number | undefined,
    sentAt: number,
  ): void {
    if (Number.isNaN(perSecond)) {
      this.#logUnreadable(service, target, 'limit: expected requests a second, not negative');
      return;
    }
    const { limit } = target.signals;
    if (!limit.record(perSecond, { sentAt, now: this.#options.clock.now() })) {
      return;
    }
    if (limit.perSecond === undefined) {
      this.#log(service, target, 'unlimited', 'names no limit any more');
    } else {
      this.limits++;
      this.#log(service, target, 'limited', `takes ${limit.perSecond} requests a second`);
    }
    this.#options.onLimitChange(target);
  }

  /** Each header once, and nothing of its value. */
  #takeUnknown(service: NamedService, target: TargetState, header: string): void {
    const name = this.#unknownHeaders.add(header);
    if (name === undefined) {
      return;
    }
    const { events } = this.#options;
    events.write({
      event: 'unknown-header',
      target: target.id,
      service: service.name,
      header: name,
    });
  }

  #takeRest(service: NamedService, target: TargetState, milliseconds: number): void {
    const { clock } = this.#options;
    if (Number.isNaN(milliseconds)) {
      this.#logUnreadable(service, target, 'rest: expected seconds, not negative');
      return;
    }
    if (!target.signals.recordRest(milliseconds, clock.now())) {
      return;
    }
    this.rests++;
    if (milliseconds >= SHORTEST_LOGGED_MILLISECONDS) {
      this.#log(service, target, 'resting', `asked for ${milliseconds} ms of rest`);
    }
  }

  #logUnreadable({ name }: NamedService, { id }: TargetState, detail: string): void {
    const { events } = this.#options;
    events.write({ event: 'unreadable-answer', target: id, service: name, detail });
  }

  #log(
    service: NamedService,
    { id, incarnationId: start }: TargetState,
    state: 'leaving' | 'resting' | 'limited' | 'unlimited',
    detail: string,
  ): void {
    this.#options.events.write({
      event: 'target',
      target: id,
      start,
      service: service.name,
      state,
      detail,
    });
  }
}
