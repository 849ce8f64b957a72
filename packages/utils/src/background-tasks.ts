import type { Logger } from './logger.js';

/**
 * Long-running tasks of one component. Each is an async function that watches the signal;
 * {@link stop} aborts the signal and waits for all of them.
 */
export class BackgroundTasks {
  readonly #abort = new AbortController();
  readonly #running = new Set<Promise<void>>();

  constructor(readonly logger: Logger) {}

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  get stopped(): boolean {
    return this.#abort.signal.aborted;
  }

  /** Starts a task. A failure is logged with the task name and does not affect the other tasks. */
  start(name: string, task: (signal: AbortSignal) => Promise<void>): void {
    const running = task(this.signal).catch((error: unknown) => {
      if (!this.stopped) {
        this.logger.error('background task failed', { task: name, error: String(error) });
      }
    });
    this.#running.add(running);
    void running.finally(() => this.#running.delete(running));
  }

  /** Aborts the signal and waits until all tasks have returned. */
  async stop(): Promise<void> {
    this.#abort.abort();
    await Promise.all(this.#running);
  }
}
