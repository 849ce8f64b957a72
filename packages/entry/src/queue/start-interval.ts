/** Weight of the newest sample in the moving average. */
const SAMPLE_WEIGHT = 0.1;

/**
 * Time that this host needs for each request while requests wait: all of its work between two
 * starts, time without processor quota included.
 */
export class StartInterval {
  #milliseconds = 0;
  #lastStartAt: number | undefined;

  /** Moving average in milliseconds; 0 before the first sample. */
  get milliseconds(): number {
    return this.#milliseconds;
  }

  /** @param isWaiting - whether more requests wait, so that the next start follows without a pause */
  recordStart(now: number, isWaiting: boolean): void {
    if (this.#lastStartAt !== undefined) {
      this.#add(now - this.#lastStartAt);
    }
    this.#lastStartAt = isWaiting ? now : undefined;
  }

  #add(sample: number): void {
    const weight = this.#milliseconds === 0 ? 1 : SAMPLE_WEIGHT;
    this.#milliseconds += weight * (sample - this.#milliseconds);
  }
}
