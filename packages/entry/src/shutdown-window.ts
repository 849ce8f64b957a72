import type { Clock } from '@ferrylock/utils';

/** Time reserved at the end of a graceful shutdown, as a fraction of its timeout. */
const RESERVED_FRACTION = 1 / 15;
/** Enough for a host whose event loop is delayed, however long the timeout is. */
const MAX_RESERVED_MILLISECONDS = 400;

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
   * Begins a graceful shutdown.
   *
   * @returns monotonic time in milliseconds at which requests still in flight are aborted; half of
   * the reserved time remains for final responses to be written, the other half for the process
   */
  begin(timeoutMilliseconds: number): number {
    const reserved = Math.min(MAX_RESERVED_MILLISECONDS, timeoutMilliseconds * RESERVED_FRACTION);
    const remaining = timeoutMilliseconds - reserved;
    this.#answersUntil = this.clock.now() + remaining;
    this.clock.after(remaining, () => {
      for (const callback of this.#closeCallbacks) {
        callback();
      }
    });
    return this.#answersUntil + reserved / 2;
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
