import { isRepeatable } from '@ferrylock/routing';
import type { RequestKind, Route } from '@ferrylock/routing';
import type { Refusal } from './refusal.js';
import type { TargetResponse } from './target-client.js';
import type { CancelCause, SendVerdict } from './target-send.js';

/** Failed attempts that did not reach a target after which a request is refused. */
const MAX_UNSENT = 3;

const isServerError = (status: number): boolean => status >= 500;

/** Next action for a request; `try-again-if-allowed` depends on the retry budget. */
export type NextStep = 'deliver' | 'give-up' | 'try-again' | 'try-again-if-allowed';

/**
 * Tracks the sends of one request and decides what follows. Once a target may have run the request,
 * its outcome no longer claims that it has not run.
 */
export class RequestProgress {
  /** Targets that the request was sent to, or that could not be reached. */
  readonly tried = new Set<string>();
  /** Sends that may have reached a target, those of a host that handed the request over included. */
  attempts: number;
  /** Sends that may have run the request. */
  runs = 0;
  /** Set once this host cancels the request. */
  cancelledBy: CancelCause | undefined;
  #unsent = 0;
  #mayHaveRun = false;
  #serverError: TargetResponse | undefined;
  #refusal: Refusal | undefined;

  /** @param attempts - attempts of a host that handed the request over, which vouches for these */
  constructor(
    readonly route: Pick<Route, 'kind' | 'mostAttempts'>,
    attempts = 0,
  ) {
    this.attempts = attempts;
  }

  get #kind(): RequestKind {
    return this.route.kind;
  }

  /** Records the verdict of a send and returns the next action. */
  recordVerdict(verdict: SendVerdict): NextStep {
    switch (verdict.kind) {
      case 'answered':
        return this.#recordResponse(verdict.response);
      case 'not-run':
        return this.#recordNotRun(verdict);
      case 'unknown':
        this.attempts++;
        this.runs++;
        this.#mayHaveRun = true;
        this.#refusal = { ...verdict, ran: 'unknown' };
        return isRepeatable(this.#kind) ? this.#retryStep() : 'give-up';
      case 'ended':
        this.attempts += verdict.wasSent ? 1 : 0;
        this.runs += verdict.wasSent ? 1 : 0;
        this.#mayHaveRun ||= verdict.wasSent;
        return 'give-up';
    }
  }

  /**
   * Records that the request is refused because targets crashed while running it.
   *
   * @param retryAfterSeconds - delay until a trial run is allowed; undefined if none is left
   */
  rejectSuspect(retryAfterSeconds?: number): void {
    const detail = 'targets ended when they ran this request';
    const refusal = { reason: 'targets-end', detail, ran: 'no' } as const;
    this.recordRefusal(
      retryAfterSeconds === undefined ? refusal : { ...refusal, retryAfterSeconds },
    );
  }

  /** Records a refusal of the request by this host or by one that it was handed over to. */
  recordRefusal(refusal: Refusal): void {
    if (!this.#mayHaveRun) {
      this.#refusal = refusal;
    }
  }

  /** Records that a host that the request was handed over to may have run it. */
  recordLostHandover(detail: string): NextStep {
    return this.recordVerdict({ kind: 'unknown', reason: 'target-failed', detail });
  }

  /** Records a refusal by a host that the request was handed over to, and that may have run it. */
  recordUncertainRefusal(refusal: Refusal): void {
    this.recordLostHandover(refusal.detail);
    this.#refusal = refusal;
  }

  /** Records that this host cancelled a handover. */
  recordEndedHandover(wasSent: boolean): void {
    this.recordVerdict({ kind: 'ended', cause: this.cancelledBy ?? 'deadline', wasSent });
  }

  /** Final response if no further send follows: one of a target, or a refusal. */
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

  #recordResponse(response: TargetResponse): NextStep {
    this.attempts++;
    this.runs++;
    if (!isServerError(response.status) || !isRepeatable(this.#kind)) {
      return 'deliver';
    }
    this.#mayHaveRun = true;
    this.#serverError = response;
    return this.#retryStep();
  }

  #recordNotRun({ reason, detail }: Extract<SendVerdict, { kind: 'not-run' }>): NextStep {
    this.recordRefusal({ reason, detail, ran: 'no' });
    if (reason !== 'target-refused') {
      this.#unsent++;
      return this.#unsent < MAX_UNSENT ? this.#retryStep() : 'give-up';
    }
    this.attempts++;
    return this.#retryStep();
  }

  #retryStep(): NextStep {
    if (this.cancelledBy !== undefined || this.attempts >= this.route.mostAttempts) {
      return 'give-up';
    }
    return this.attempts === 0 ? 'try-again' : 'try-again-if-allowed';
  }
}
