/**
 * Time as the decisions see it. Every lease, limit and time-out counts on the monotonic reading, so
 * that a step of the wall clock changes nothing.
 */
export interface Clock {
  /** Milliseconds since an arbitrary start, never going back. */
  now(): number;
  /** Date for audit lines and logs only; no decision reads it. */
  wallTime(): Date;
  /** Resolves after the given milliseconds, or at once when the signal aborts. */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
  /** Calls back once after the given milliseconds; the function returned cancels it. */
  after(milliseconds: number, callback: () => void): () => void;
}

/** The process's own clock. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wallTime(): Date {
    return new Date();
  }

  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, milliseconds);
      signal?.addEventListener('abort', finish, { once: true });
    });
  }

  after(milliseconds: number, callback: () => void): () => void {
    const timer = setTimeout(callback, milliseconds);
    return () => {
      clearTimeout(timer);
    };
  }
}
