/**
 * Whether one request has been given up, told without an abort signal until something asks for one:
 * making a signal costs more than all the rest of a short request's bookkeeping.
 */
export class Cancellation {
  #cancelled = false;
  #controller: AbortController | undefined;

  get isCancelled(): boolean {
    return this.#cancelled;
  }

  /** A signal that aborts with the cancellation. */
  get signal(): AbortSignal {
    if (this.#controller === undefined) {
      this.#controller = new AbortController();
      if (this.#cancelled) {
        this.#controller.abort();
      }
    }
    return this.#controller.signal;
  }

  cancel(): void {
    this.#cancelled = true;
    this.#controller?.abort();
  }
}
