import type { Clock } from '@ferrylock/utils';

/** Retries for each request that callers send. */
const DEFAULT_RATIO = 0.1;
/** Retries a second that a quiet service may make all the same. */
const DEFAULT_MINIMUM_PER_SECOND = 1;
/** Seconds of saved-up retries. */
const SAVED_SECONDS = 10;

/** Bounds the load that retries add: a share of the first tries, and a trickle for quiet services. */
export class RetryBudget {
  #tokens: number;
  #refilledAt: number;

  constructor(
    readonly clock: Clock,
    readonly ratio = DEFAULT_RATIO,
    readonly minimumPerSecond = DEFAULT_MINIMUM_PER_SECOND,
  ) {
    this.#tokens = minimumPerSecond;
    this.#refilledAt = clock.now();
  }

  /** Counts a first try, which earns a share of a retry. */
  recordRequest(): void {
    this.#refill();
    this.#tokens = Math.min(this.#maximum(), this.#tokens + this.ratio);
  }

  /** Takes one retry from the budget if there is one. */
  tryTake(): boolean {
    this.#refill();
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens--;
    return true;
  }

  #refill(): void {
    const now = this.clock.now();
    const earned = ((now - this.#refilledAt) / 1_000) * this.minimumPerSecond;
    this.#refilledAt = now;
    this.#tokens = Math.min(this.#maximum(), this.#tokens + earned);
  }

  #maximum(): number {
    return Math.max(1, SAVED_SECONDS * this.minimumPerSecond);
  }
}
