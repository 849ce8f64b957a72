import type { Clock } from '@ferrylock/utils';

/** A pause of one daemon's whole process: nothing in it goes on until it is resumed. */
export class ProcessPause {
  #resumed: Promise<void> | undefined;
  #resume: () => void = () => undefined;

  pause(): void {
    this.#resumed ??= new Promise((resolve) => {
      this.#resume = resolve;
    });
  }

  resume(): void {
    this.#resumed = undefined;
    this.#resume();
  }

  /** Resolves when the process is not paused. */
  async wait(): Promise<void> {
    while (this.#resumed !== undefined) {
      await this.#resumed;
    }
  }
}

/** A process's clock: time goes on during a pause, but its sleepers wake only afterwards. */
export class PausableClock implements Clock {
  constructor(
    readonly clock: Clock,
    readonly process: ProcessPause,
  ) {}

  now(): number {
    return this.clock.now();
  }

  wallTime(): Date {
    return this.clock.wallTime();
  }

  async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(milliseconds, signal);
    await this.process.wait();
  }

  after(milliseconds: number, callback: () => void): () => void {
    return this.clock.after(milliseconds, () => {
      void this.process.wait().then(callback);
    });
  }
}
