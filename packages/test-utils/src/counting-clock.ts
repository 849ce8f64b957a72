import type { Clock } from '@ferrylock/utils';

/** Counts what wakes a host. */
export class CountingClock implements Clock {
  constructor(
    readonly clock: Clock,
    readonly counts: { wakeUps: number },
  ) {}

  now(): number {
    return this.clock.now();
  }

  wallTime(): Date {
    return this.clock.wallTime();
  }

  async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(milliseconds, signal);
    this.counts.wakeUps++;
  }

  after(milliseconds: number, callback: () => void): () => void {
    return this.clock.after(milliseconds, () => {
      this.counts.wakeUps++;
      callback();
    });
  }
}
