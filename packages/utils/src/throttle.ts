import type { Clock } from './clock.js';

/** Admits one occurrence per interval, for example so that a log line is not repeated for each. */
export class Throttle {
  #admittedAt = -Infinity;

  constructor(
    readonly clock: Clock,
    readonly intervalMilliseconds: number,
  ) {}

  tryAdmit(): boolean {
    const now = this.clock.now();
    if (now - this.#admittedAt < this.intervalMilliseconds) {
      return false;
    }
    this.#admittedAt = now;
    return true;
  }
}
