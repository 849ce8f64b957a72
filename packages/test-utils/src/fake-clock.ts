import type { Clock } from '@ferrylock/utils';
import TinyQueue from 'tinyqueue';

interface Sleeper {
  readonly wakeAt: number;
  readonly order: number;
  readonly resolve: () => void;
  cancelled: boolean;
}

/**
 * A clock that moves only when told to. Sleepers wake in the order of their times, and each one's
 * continuations run before the next wakes, so that a seeded run always takes the same course.
 */
export class FakeClock implements Clock {
  #now = 0;
  #order = 0;
  readonly #sleepers = new TinyQueue<Sleeper>(
    [],
    (a, b) => a.wakeAt - b.wakeAt || a.order - b.order,
  );

  now(): number {
    return this.#now;
  }

  wallTime(): Date {
    return new Date(Date.UTC(2026, 0, 1) + this.#now);
  }

  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const finish = (): void => {
        sleeper.cancelled = true;
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const sleeper: Sleeper = {
        wakeAt: this.#now + Math.max(0, milliseconds),
        order: this.#order++,
        resolve: finish,
        cancelled: false,
      };
      this.#sleepers.push(sleeper);
      signal?.addEventListener('abort', finish, { once: true });
    });
  }

  after(milliseconds: number, callback: () => void): () => void {
    const sleeper: Sleeper = {
      wakeAt: this.#now + Math.max(0, milliseconds),
      order: this.#order++,
      resolve: callback,
      cancelled: false,
    };
    this.#sleepers.push(sleeper);
    return () => {
      sleeper.cancelled = true;
    };
  }

  /** Moves time forward, waking each sleeper that falls due on the way. */
  async advance(milliseconds: number): Promise<void> {
    const end = this.#now + milliseconds;
    await this.settle();
    for (let next = this.#takeDue(end); next !== undefined; next = this.#takeDue(end)) {
      this.#now = Math.max(this.#now, next.wakeAt);
      next.resolve();
      await this.settle();
    }
    this.#now = end;
  }

  /** Lets every task run until it waits again: promises settle before the next immediate runs. */
  settle(): Promise<void> {
    return new Promise((resolve) => setImmediate(resolve));
  }

  #takeDue(end: number): Sleeper | undefined {
    for (let next = this.#sleepers.peek(); next !== undefined; next = this.#sleepers.peek()) {
      if (next.wakeAt > end) {
        return undefined;
      }
      this.#sleepers.pop();
      if (!next.cancelled) {
        return next;
      }
    }
    return undefined;
  }
}
