import { performance } from 'node:perf_hooks';

/** Weight of the newest sample in the moving average. */
const SAMPLE_WEIGHT = 0.28;

/** Cumulative idle and active time of the event loop, in milliseconds. */
export type LoopTimes = Pick<
  ReturnType<typeof performance.eventLoopUtilization>,
  'idle' | 'active'
>;

/**
 * Moving average of the event loop utilization. Time in which the process is throttled by its CPU
 * quota counts as active, so at 1 the process is saturated.
 */
export class UtilizationMeter {
  readonly #read: () => LoopTimes;
  #last: LoopTimes;
  #utilization = 0;

  constructor(read: () => LoopTimes = () => performance.eventLoopUtilization()) {
    this.#read = read;
    this.#last = read();
  }

  /** From 0 to 1. */
  get utilization(): number {
    return this.#utilization;
  }

  /** Takes a sample; called about five times a second. */
  sample(): void {
    const times = this.#read();
    const active = times.active - this.#last.active;
    const total = active + times.idle - this.#last.idle;
    this.#last = times;
    if (total > 0) {
      this.#utilization += SAMPLE_WEIGHT * (active / total - this.#utilization);
    }
  }
}
