import type { ServiceTargets, TargetState } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { AnswerFacts } from './dialect.js';

/** The service whose target speaks. */
type NamedService = Pick<ServiceTargets, 'name'>;

/**
 * Shorter rests are counted and have no line, so that a target brings about two lines a second at most; these are not
 * left out as other lines of requests are, since they say why requests are refused.
 */
const SHORTEST_LOGGED_MILLISECONDS = 500;

/** What targets say of themselves in their answers. */
export type SaidOfItself = Pick<AnswerFacts, 'isLeaving' | 'restMilliseconds'>;

export interface TargetWordsOptions {
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Takes what targets say of themselves in their answers, and writes it down. */
export class TargetWords {
  /** Rests that targets asked this host for; one that is asked for again before its end counts once. */
  rests = 0;
  /** Targets that said in an answer that they leave. */
  leaving = 0;
  /** Requests that were sent to a target that had asked for rest, or said that it leaves. */
  unwantedSends = 0;
  readonly #options: TargetWordsOptions;

  constructor(options: TargetWordsOptions) {
    this.#options = options;
  }

  /** A request leaves for a target. */
  recordSend({ word }: TargetState): void {
    if (word.isLeaving || word.isResting(this.#options.clock.now())) {
      this.unwantedSends++;
    }
  }

  /** An answer of the target begins. */
  take(service: NamedService, target: TargetState, said: SaidOfItself): void {
    if (said.isLeaving && target.word.recordLeaving()) {
      this.leaving++;
      this.#log(service, target, 'leaving', 'said in an answer');
    }
    if (said.restMilliseconds !== undefined) {
      this.#takeRest(service, target, said.restMilliseconds);
    }
  }

  #takeRest(service: NamedService, target: TargetState, milliseconds: number): void {
    const { clock, events } = this.#options;
    if (Number.isNaN(milliseconds)) {
      const detail = 'rest: expected seconds, not negative';
      events.write({
        event: 'unreadable-answer',
        target: target.id,
        service: service.name,
        detail,
      });
      return;
    }
    if (!target.word.recordRest(milliseconds, clock.now())) {
      return;
    }
    this.rests++;
    if (milliseconds >= SHORTEST_LOGGED_MILLISECONDS) {
      this.#log(service, target, 'resting', `asked for ${milliseconds} ms of rest`);
    }
  }

  #log(
    service: NamedService,
    { id, start }: TargetState,
    state: 'leaving' | 'resting',
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
