import type { Clock } from '@ferrylock/utils';
import TinyQueue from 'tinyqueue';

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Time that moves from one event to the next, in milliseconds. */
export class VirtualTime implements Clock {
  readonly #events = new TinyQueue<Event>([], (a, b) => a.at - b.at || a.order - b.order);
  #now = 0;
  #order = 0;

  now(): number {
    return this.#now;
  }

  wallTime(): Date {
    return new Date(this.#now);
  }

  after(milliseconds: number, run: () => void): () => void {
    let isCancelled = false;
    const order = this.#order++;
    this.#events.push({
      at: this.#now + milliseconds,
      order,
      run: () => {
        if (!isCancelled) {
          run();
        }
      },
    });
    return () => {
      isCancelled = true;
    };
  }

  sleep(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(milliseconds, resolve);
    });
  }

  /** Calls again and again, from now until the time given. */
  every(milliseconds: number, until: number, run: () => void): void {
    run();
    if (this.#now + milliseconds < until) {
      this.after(milliseconds, () => {
        this.every(milliseconds, until, run);
      });
    }
  }

  /** Runs all events in their order. */
  run(): void {
    for (let event = this.#events.pop(); event !== undefined; event = this.#events.pop()) {
      this.#now = event.at;
      event.run();
    }
  }
}
