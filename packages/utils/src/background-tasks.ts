import type { Clock } from './clock.js';
import type { Logger } from './logger.js';
import { Throttle } from './throttle.js';

/** Pause before a loop that failed runs again. */
const RESTART_MILLISECONDS = 1_000;
/** Interval between log lines about failures, which a caller may cause at will. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/** Work that ends early, with its result unused, once the signal is aborted. */
export type BackgroundTask = (signal: AbortSignal) => Promise<unknown>;

export interface BackgroundTasksOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called with the name of a task whenever it fails. */
  readonly onFailure?: (name: string) => void;
}

/**
 * Work of one component that nobody waits for. An exception is logged and counted, and affects
 * neither the process nor the other tasks. {@link stop} aborts the signal and waits for all of them.
 */
export class BackgroundTasks {
  readonly #options: BackgroundTasksOptions;
  readonly #abort = new AbortController();
  readonly #running = new Set<Promise<void>>();
  readonly #throttle: Throttle;
  #failures = 0;

  constructor(options: BackgroundTasksOptions) {
    this.#options = options;
    this.#throttle = new Throttle(options.clock, LOG_INTERVAL_MILLISECONDS);
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  get stopped(): boolean {
    return this.#abort.signal.aborted;
  }

  /** Starts a loop. After a failure it runs again, since the component cannot do without it. */
  start(name: string, loop: BackgroundTask): void {
    this.#track(this.#repeat(name, loop));
  }

  /** Runs a task once. */
  run(name: string, task: BackgroundTask): void {
    this.#track(this.#attempt(name, task).then(() => undefined));
  }

  /** Aborts the signal and waits until all tasks have returned. */
  async stop(): Promise<void> {
    this.#abort.abort();
    await Promise.all(this.#running);
  }

  #track(running: Promise<void>): void {
    const tracked = running.finally(() => this.#running.delete(tracked));
    this.#running.add(tracked);
  }

  async #repeat(name: string, loop: BackgroundTask): Promise<void> {
    while (!this.stopped && !(await this.#attempt(name, loop))) {
      await this.#options.clock.sleep(RESTART_MILLISECONDS, this.signal);
    }
  }

  /** Returns whether the task ended without an exception. */
  async #attempt(name: string, task: BackgroundTask): Promise<boolean> {
    try {
      await task(this.signal);
      return true;
    } catch (error) {
      if (!this.stopped) {
        this.#recordFailure(name, error);
      }
      return false;
    }
  }

  #recordFailure(name: string, error: unknown): void {
    const { logger, onFailure } = this.#options;
    this.#failures++;
    onFailure?.(name);
    if (this.#throttle.tryAdmit()) {
      const detail = error instanceof Error ? (error.stack ?? String(error)) : String(error);
      logger.error('background task failed', {
        task: name,
        error: detail,
        failures: this.#failures,
      });
    }
  }
}
