import type { Clock } from '@ferrylock/utils';

/** Time reserved at the end of a graceful shutdown, as a fraction of its timeout. */
const RESERVED_FRACTION = 1 / 15;
/** Enough for a host whose event loop is delayed, however long the timeout is. */
const MAX_RESERVED_MILLISECONDS = 400;

/** Monotonic times in milliseconds of the end of a graceful shutdown. */
export interface ShutdownEnd {
  /** When requests that are still in flight are aborted. */
  readonly abortsAt: number;
  /** When the process must be ready to exit. */
  readonly exitsAt: number;
}

/**
 * Tells which requests this host can still answer. During a graceful shutdown these are the requests
 * whose deadline lies before the time at which the host must have answered; another host has to
 * serve the others.
 */
export class ShutdownWindow {
  #answersUntil = Infinity;
  readonly #closeCallbacks = new Set<() => void>();

  constructor(readonly clock: Clock) {}

  /** Whether a graceful shutdown has begun. */
  get isStopping(): boolean {
    return this.#answersUntil !== Infinity;
  }

  /**
   * Begins a graceful shutdown. Half of the reserved time is for writing final responses, a quarter
   * for closing, and a quarter remains.
   */
  begin(timeoutMilliseconds: number): ShutdownEnd {
    const reserved = Math.min(MAX_RESERVED_MILLISECONDS, timeoutMilliseconds * RESERVED_FRACTION);
    const remaining = timeoutMilliseconds - reserved;
    this.#answersUntil = this.clock.now() + remaining;
    this.clock.after(remaining, () => {
      for (const callback of this.#closeCallbacks) {
        callback();
      }
    });
    return {
      abortsAt: this.#answersUntil + reserved / 2,
      exitsAt: this.#answersUntil + (3 * reserved) / 4,
    };
  }

  /**
   * Checks whether this host can answer a request whatever time it takes.
   *
   * @param deadlineAt - monotonic time in milliseconds by which the final response is due
   */
  canAnswer(deadlineAt: number): boolean {
    return !this.isStopping || deadlineAt <= this.#answersUntil;
  }

  /**
   * Calls back once no request can be answered any more.
   *
   * @returns function that cancels the call
   */
  onClose(callback: () => void): () => void {
    this.#closeCallbacks.add(callback);
    return () => {
      this.#closeCallbacks.delete(callback);
    };
  }
}
