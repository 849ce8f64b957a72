import type { RequestKind, Route } from '@ferrylock/routing';
import type { Refusal } from './refusal.js';
import type { TargetResponse } from './target-client.js';
import type { CancelCause, SendVerdict } from './target-send.js';

/** Targets that a request was not sent to in the end, having no connection or wanting none, before it is refused. */
const MOST_UNSENT = 3;

/** Statuses by which a target says that it ran the request and failed. */
const isServerError = (status: number): boolean => status >= 500;

/** A retry would be a second arrival at the service; the caller of this decides whether it may. */
export type NextStep = 'deliver' | 'give-up' | 'try-again' | 'try-again-if-allowed';

/**
 * How far one request has come over its sends, and what may follow. It knows whether the request
 * may have run: once that is possible, no refusal says otherwise.
 */
export class RequestProgress {
  /** Targets that it was sent to, or that could not be reached. */
  readonly tried = new Set<string>();
  /** Sends that a target may have seen. */
  attempts = 0;
  /** Sends that may have run it. */
  runs = 0;
  /** Why it was ended from this side, if it was. */
  cancelledBy: CancelCause | undefined;
  #unsent = 0;
  #mayHaveRun = false;
  #serverError: TargetResponse | undefined;
  #refusal: Refusal | undefined;

  constructor(readonly route: Pick<Route, 'kind' | 'mostAttempts'>) {}

  get #kind(): RequestKind {
    return this.route.kind;
  }

  /** Takes the outcome of a send on and says what is to follow. */
  recordVerdict(verdict: SendVerdict): NextStep {
    switch (verdict.kind) {
      case 'answered':
        return this.#takeAnswer(verdict.answer);
      case 'not-run':
        return this.#takeNotRun(verdict);
      case 'unknown':
        this.attempts++;
        this.runs++;
        this.#mayHaveRun = true;
        this.#refusal = { ...verdict, ran: 'unknown' };
        return this.#kind === 'repeatable' ? this.#again() : 'give-up';
      case 'ended':
        this.attempts += verdict.wasSent ? 1 : 0;
        this.runs += verdict.wasSent ? 1 : 0;
        this.#mayHaveRun ||= verdict.wasSent;
        return 'give-up';
    }
  }

  /**
   * It is not to be sent to any target from now on, since targets end under it.
   *
   * @param retryAfterSeconds - when it may be let run once more; undefined where that has been tried
   */
  rejectSuspect(retryAfterSeconds?: number): void {
    if (!this.#mayHaveRun) {
      const detail = 'targets ended when they ran this request';
      const refusal = { reason: 'targets-end', detail, ran: 'no' } as const;
      this.#refusal = retryAfterSeconds === undefined ? refusal : { ...refusal, retryAfterSeconds };
    }
  }

  /** The answer to give where no further send follows: a target's own, or a refusal. */
  get outcome(): TargetResponse | Refusal {
    if (this.#serverError !== undefined) {
      return this.#serverError;
    }
    if (this.cancelledBy === 'deadline') {
      return this.#mayHaveRun
        ? { reason: 'deadline', detail: 'no answer came in time', ran: 'unknown' }
        : { reason: 'deadline-not-run', detail: 'no target took it in time', ran: 'no' };
    }
    return this.#refusal ?? { reason: 'overload', detail: 'no target has room', ran: 'no' };
  }

  #takeAnswer(answer: TargetResponse): NextStep {
    this.attempts++;
    this.runs++;
    if (!isServerError(answer.status) || this.#kind !== 'repeatable') {
      return 'deliver';
    }
    this.#mayHaveRun = true;
    this.#serverError = answer;
    return this.#again();
  }

  #takeNotRun({ reason, detail }: Extract<SendVerdict, { kind: 'not-run' }>): NextStep {
    if (!this.#mayHaveRun) {
      this.#refusal = { reason, detail, ran: 'no' };
    }
    if (reason !== 'target-refused') {
      this.#unsent++;
      return this.#unsent < MOST_UNSENT ? this.#again() : 'give-up';
    }
    this.attempts++;
    return this.#again();
  }

  #again(): NextStep {
    if (this.cancelledBy !== undefined || this.attempts >= this.route.mostAttempts) {
      return 'give-up';
    }
    return this.attempts === 0 ? 'try-again' : 'try-again-if-allowed';
  }
}
