/**
 * Cancellation state of one request. Creates its abort signal lazily, because an `AbortController`
 * is expensive relative to a short request.
 */
export class Cancellation {
  #cancelled = false;
  #controller: AbortController | undefined;

  get isCancelled(): boolean {
    return this.#cancelled;
  }

  /** Signal that aborts on cancellation. */
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
