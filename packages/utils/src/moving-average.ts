/** Exponentially weighted moving average, initialized with its first sample. */
export class MovingAverage {
  #value: number | undefined;

  /** @param weight - weight of a new sample, between 0 and 1 */
  constructor(readonly weight: number) {}

  get value(): number | undefined {
    return this.#value;
  }

  add(sample: number): void {
    this.#value =
      this.#value === undefined ? sample : this.#value + this.weight * (sample - this.#value);
  }
}
