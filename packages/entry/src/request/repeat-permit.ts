import type { ServiceTargets } from '@ferrylock/routing';
import type { DeniedRepeatLog } from './denied-repeat-log.js';
import type { RepeatCause, RepeatMetrics } from './repeat-metrics.js';

export interface RepeatPermitOptions {
  readonly service: Pick<ServiceTargets, 'name' | 'retryBudget'>;
  readonly metrics: RepeatMetrics;
  readonly denied: DeniedRepeatLog;
}

/**
 * Permission to send one request once more. It is kept until such a send may have reached a target, and
 * given back if none does.
 */
export class RepeatPermit {
  readonly #options: RepeatPermitOptions;
  #isHeld = false;

  constructor(options: RepeatPermitOptions) {
    this.#options = options;
  }

  /**
   * Returns whether the request may be sent again.
   *
   * @param isFirstAttempt - whether no send may have reached a target so far, so that none is repeated
   */
  mayTryAgain(cause: RepeatCause, isFirstAttempt: boolean): boolean {
    const { service, metrics, denied } = this.#options;
    if (!isFirstAttempt && !this.#tryAcquire()) {
      metrics.recordDenied(service.name);
      denied.record(service);
      return false;
    }
    metrics.recordGranted(service.name, cause);
    return true;
  }

  /** Records that a send may have reached a target. */
  use(): void {
    this.#isHeld = false;
  }

  /** Returns an unused permission to the budget. */
  release(): void {
    if (this.#isHeld) {
      this.#isHeld = false;
      this.#options.service.retryBudget.release();
    }
  }

  #tryAcquire(): boolean {
    this.#isHeld ||= this.#options.service.retryBudget.tryAcquire();
    return this.#isHeld;
  }
}
