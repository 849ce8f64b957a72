import type { ServiceTargets, TargetState } from '@ferrylock/routing';
import { FirstOccurrences } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../event-log.js';
import type { ResponseMetadata } from './header-codec.js';

type NamedService = Pick<ServiceTargets, 'name'>;

/**
 * Shorter rests are counted but not logged, which bounds the log to about two lines per second and
 * target.
 */
const MIN_LOGGED_REST_MILLISECONDS = 500;

/** Signals about itself that a target sends in response headers. */
export type ReportedSignals = Pick<
  ResponseMetadata,
  'isLeaving' | 'isLoadMalformed' | 'restMilliseconds' | 'limitPerSecond' | 'unknownHeaders'
>;

export interface TargetSignalRecorderOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Called when a target advertises a limit, changes it or withdraws it. */
  readonly onLimitChange: (target: TargetState) => void;
}

/** Applies, counts and logs the signals that targets send in responses. */
export class TargetSignalRecorder {
  /** Rests: back-offs that targets requested through Retry-After. A prolonged one counts once. */
  rests = 0;
  /** Targets that announced their shutdown in a response. */
  leaving = 0;
  /** Requests sent to a target that was resting or had announced its shutdown. */
  unwantedSends = 0;
  /** Limits that targets advertised, including changes. */
  limits = 0;
  /** Requests sent to targets with an advertised limit. */
  limitedSends = 0;
  readonly #unknownHeaders = new FirstOccurrences();
  readonly #malformedLoads = new FirstOccurrences();
  readonly #malformedMarks = new FirstOccurrences();
  readonly #options: TargetSignalRecorderOptions;

  constructor(options: TargetSignalRecorderOptions) {
    this.#options = options;
  }

  /** Counts a request that is sent to a target. */
  recordSend({ signals }: TargetState): void {
    if (signals.isLeaving || signals.isResting(this.#options.clock.now())) {
      this.unwantedSends++;
    }
    if (signals.limit.perSecond !== undefined) {
      this.limitedSends++;
    }
  }

  /** Logs once for each service that the mark of requests that have not run cannot be read. */
  recordMark(
    service: NamedService,
    target: TargetState,
    { isNotRunMarkMalformed }: Pick<ResponseMetadata, 'isNotRunMarkMalformed'>,
  ): void {
    if (isNotRunMarkMalformed === true && this.#malformedMarks.add(service.name) !== undefined) {
      this.#logUnreadable(service, target, 'not-run mark: not the value that says so, ignored');
    }
  }

  /**
   * Records the signals of a response.
   *
   * @param sentAt - monotonic time in milliseconds at which the request was sent
   */
  recordResponse(
    service: NamedService,
    target: TargetState,
    reported: ReportedSignals,
    sentAt: number,
  ): void {
    if (reported.isLeaving && target.signals.recordLeaving()) {
      this.leaving++;
      this.#log(service, target, 'leaving', 'announced in a response');
    }
    if (reported.isLoadMalformed === true && this.#malformedLoads.add(service.name) !== undefined) {
      this.#logUnreadable(service, target, 'load: expected non-negative whole numbers');
    }
    if (reported.restMilliseconds !== undefined) {
      this.#recordRest(service, target, reported.restMilliseconds);
    }
    this.#recordLimit(service, target, reported.limitPerSecond, sentAt);
    for (const header of reported.unknownHeaders) {
      this.#recordUnknownHeader(service, target, header);
    }
  }

  #recordLimit(
    service: NamedService,
    target: TargetState,
    perSecond: number | undefined,
    sentAt: number,
  ): void {
    if (Number.isNaN(perSecond)) {
      this.#logUnreadable(
        service,
        target,
        'limit: expected a non-negative number of requests per second',
      );
      return;
    }
    const { limit } = target.signals;
    if (!limit.record(perSecond, { sentAt, now: this.#options.clock.now() })) {
      return;
    }
    if (limit.perSecond === undefined) {
      this.#log(service, target, 'unlimited', 'no longer advertises a limit');
    } else {
      this.limits++;
      this.#log(service, target, 'limited', `takes ${limit.perSecond} requests a second`);
    }
    this.#options.onLimitChange(target);
  }

  /** Logs the name of each unsupported header once, never its value. */
  #recordUnknownHeader(service: NamedService, target: TargetState, header: string): void {
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

  #recordRest(service: NamedService, target: TargetState, milliseconds: number): void {
    const { clock } = this.#options;
    if (Number.isNaN(milliseconds)) {
      this.#logUnreadable(service, target, 'rest: expected a non-negative number of seconds');
      return;
    }
    if (!target.signals.recordRest(milliseconds, clock.now())) {
      return;
    }
    this.rests++;
    if (milliseconds >= MIN_LOGGED_REST_MILLISECONDS) {
      this.#log(service, target, 'resting', `requested ${milliseconds} ms of rest`);
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
