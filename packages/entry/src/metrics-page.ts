import type { AfterPoll } from './after-poll.js';

/** The metrics of a host as bytes, made once for all that ask in one turn of the event loop. */
export class MetricsPage {
  readonly #afterPoll: AfterPoll;
  readonly #makeText: () => string;
  #bytes: Buffer | undefined;

  constructor(afterPoll: AfterPoll, makeText: () => string) {
    this.#afterPoll = afterPoll;
    this.#makeText = makeText;
  }

  get bytes(): Buffer {
    if (this.#bytes === undefined) {
      this.#bytes = Buffer.from(this.#makeText());
      this.#afterPoll(() => {
        this.#bytes = undefined;
      });
    }
    return this.#bytes;
  }
}
