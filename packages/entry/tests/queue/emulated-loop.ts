import { FakeClock } from '@ferrylock/test-utils';
import type { ReadRequest } from '../../src/queue/request-queue.js';
import { RequestQueue } from '../../src/queue/request-queue.js';
import type { Refusal } from '../../src/request/refusal.js';

/** Time of a turn that does nothing. */
const IDLE_TURN_MILLISECONDS = 0.05;

/** What became of a request, and when. */
export interface Outcome {
  readonly verdict: 'start' | 'caller-gone' | Refusal;
  readonly milliseconds: number;
}

/** An event loop that runs a queue: work on a request that starts takes time, and so do accepts. */
export class EmulatedLoop {
  readonly clock = new FakeClock();
  readonly queue: RequestQueue;
  /** Processor time of each request that is started. */
  workMilliseconds = 4;
  #callbacks: (() => void)[] = [];
  #busyMilliseconds = 0;

  constructor() {
    const afterPoll = (callback: () => void): void => {
      this.#callbacks.push(callback);
    };
    this.queue = new RequestQueue({ clock: this.clock, afterPoll, isDisabled: false });
  }

  /** Reads a request; its outcome is known after some turns. */
  read(changes: Partial<ReadRequest> = {}): Promise<Outcome> {
    const arrivedAt = this.clock.now();
    const request = {
      priority: 1,
      account: undefined,
      targetLatencyMilliseconds: 400,
      arrivedAt,
      isCallerGone: () => false,
      ...changes,
    };
    return this.queue.wait(request).then((verdict) => {
      this.#busyMilliseconds += verdict === 'start' ? this.workMilliseconds : 0;
      return { verdict, milliseconds: this.clock.now() - arrivedAt };
    });
  }

  /** Accepts a connection in this turn. */
  accept(milliseconds = 0.3): void {
    this.queue.accepts.record();
    this.#busyMilliseconds += milliseconds;
  }

  /** Ends the present turn of the loop. */
  async turn(): Promise<void> {
    const callbacks = this.#callbacks;
    this.#callbacks = [];
    for (const callback of callbacks) {
      callback();
    }
    await this.clock.settle();
    const busy = this.#busyMilliseconds;
    this.#busyMilliseconds = 0;
    await this.clock.advance(busy + IDLE_TURN_MILLISECONDS);
  }

  async turns(count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      await this.turn();
    }
  }
}
