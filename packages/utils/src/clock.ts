/**
 * Source of time. Leases, limits and timeouts use the monotonic reading, so that steps of the wall
 * clock do not affect them.
 */
export interface Clock {
  /** Monotonic milliseconds since an arbitrary start. */
  now(): number;
  /** Wall-clock time, for audit entries and logs only. */
  wallTime(): Date;
  /** Resolves after the given milliseconds, or as soon as the signal aborts. */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
  /** Schedules one call of the callback; the returned function cancels it. */
  after(milliseconds: number, callback: () => void): () => void;
}

/** Clock of the running process. */
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
