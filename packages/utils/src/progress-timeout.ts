/** Limits of a transfer, in milliseconds. */
export interface ProgressTimeoutOptions {
  /** Time until the first progress. */
  readonly firstMilliseconds: number;
  /** Time from one progress to the next. */
  readonly nextMilliseconds: number;
  /** Time for the whole transfer. */
  readonly maxMilliseconds: number;
}

/** Aborts a transfer that makes no progress, however long one that does may take. */
export class ProgressTimeout {
  readonly #options: ProgressTimeoutOptions;
  readonly #controller = new AbortController();
  readonly #endsAt: number;
  #timer: NodeJS.Timeout;

  constructor(options: ProgressTimeoutOptions) {
    this.#options = options;
    this.#endsAt = performance.now() + options.maxMilliseconds;
    this.#timer = this.#start(options.firstMilliseconds);
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Reads all chunks, each of which is progress, and ends the timeout. */
  async read(chunks: AsyncIterable<Buffer>): Promise<Buffer> {
    const read: Buffer[] = [];
    try {
      for await (const chunk of chunks) {
        read.push(chunk);
        this.#restart();
      }
      return Buffer.concat(read);
    } finally {
      this.cancel();
    }
  }

  cancel(): void {
    clearTimeout(this.#timer);
  }

  #restart(): void {
    clearTimeout(this.#timer);
    const remaining = this.#endsAt - performance.now();
    this.#timer = this.#start(Math.min(this.#options.nextMilliseconds, remaining));
  }

  #start(milliseconds: number): NodeJS.Timeout {
    return setTimeout(() => {
      this.#controller.abort(new Error('timeout: the transfer makes no progress'));
    }, milliseconds);
  }
}
