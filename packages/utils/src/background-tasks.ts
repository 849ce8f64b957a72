import type { Logger } from './logger.js';

/**
 * The long-running tasks of one component. Each is an async function that watches the signal;
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

  /** Starts a task. One that throws is logged by name; its fellows go on. */
  start(name: string, task: (signal: AbortSignal) => Promise<void>): void {
    const running = task(this.signal).catch((error: unknown) => {
      if (!this.stopped) {
        this.logger.error('background task failed', { task: name, error: String(error) });
      }
    });
    this.#running.add(running);
    void running.finally(() => this.#running.delete(running));
  }

  /** Ends all tasks and waits until they have returned. */
  async stop(): Promise<void> {
    this.#abort.abort();
    await Promise.all(this.#running);
  }
}
