import { performance } from 'node:perf_hooks';

/** Weight of the newest sample: at five samples a second, the last second counts most. */
const SAMPLE_WEIGHT = 0.28;

/** Time that the event loop has been idle and active so far; a type of Node.js, in milliseconds. */
export type LoopTimes = Pick<
  ReturnType<typeof performance.eventLoopUtilization>,
  'idle' | 'active'
>;

/**
 * The part of its time in which this process has work, lately. Where the host gives the process a
 * share of a core, waiting for the share counts as work: at 1 the process can take no more.
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

  /** To be called some five times a second. */
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
