import type { Clock } from '@ferrylock/utils';

/** Time constant of the moving average. */
const WINDOW_MILLISECONDS = 4_000;
/** Time without demand after which a limit is idle. */
const IDLE_MILLISECONDS = 5_000;

/** Estimates the demand for a limit per second, granted or not, as a moving average. */
export class DemandMeter {
  #rate = 0;
  #pending = 0;
  #updatedAt: number;
  #lastDemandAt = -Infinity;

  constructor(readonly clock: Clock) {
    this.#updatedAt = clock.now();
  }

  add(amount: number): void {
    this.#pending += amount;
    this.#lastDemandAt = this.clock.now();
  }

  get perSecond(): number {
    this.#update();
    return this.#rate;
  }

  get isIdle(): boolean {
    return this.clock.now() - this.#lastDemandAt >= IDLE_MILLISECONDS;
  }

  #update(): void {
    const now = this.clock.now();
    const elapsed = now - this.#updatedAt;
    if (elapsed <= 0) {
      return;
    }
    const sample = (this.#pending / elapsed) * 1_000;
    const weight = 1 - Math.exp(-elapsed / WINDOW_MILLISECONDS);
    this.#rate += weight * (sample - this.#rate);
    this.#pending = 0;
    this.#updatedAt = now;
  }
}
