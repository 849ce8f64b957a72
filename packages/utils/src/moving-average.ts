/** An exponentially weighted moving average that starts at its first sample. */
export class MovingAverage {
  #value: number | undefined;

  /** @param weight - share of a new sample in the average, between 0 and 1 */
  constructor(readonly weight: number) {}

  get value(): number | undefined {
    return this.#value;
  }

  add(sample: number): void {
    this.#value =
      this.#value === undefined ? sample : this.#value + this.weight * (sample - this.#value);
  }
}
