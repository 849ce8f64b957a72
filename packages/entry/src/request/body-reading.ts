import type { IncomingMessage } from 'node:http';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { ByteBudget } from '../transfers/byte-budget.js';
import { ChunkQueue } from '../transfers/chunk-queue.js';

/** Reason why a request body was not read completely. */
export type BodyFailure =
  'too-large' | 'too-many-bytes-held' | 'too-late' | 'stopping' | 'caller-gone';

export interface BodyReadingOptions {
  readonly maxBytes: number;
  /** Charged for what the body holds, and once it is whole for its length. */
  readonly budget: ByteBudget;
}

/** A request body that is being read into memory. */
export class BodyReading {
  /** Called once, with the body or the reason why there is none. */
  onEnd: (result: Result<Buffer, BodyFailure>) => void = () => undefined;
  readonly #request: IncomingMessage;
  readonly #options: BodyReadingOptions;
  readonly #chunks = new ChunkQueue();
  #bytes = 0;
  #chargedBytes = 0;
  #isEnded = false;

  constructor(request: IncomingMessage, options: BodyReadingOptions) {
    this.#request = request;
    this.#options = options;
    request.on('data', this.#onData);
    request.once('end', this.#onWhole);
    // The request only fails together with the caller's connection.
    request.once('error', this.#onGone);
    request.once('close', this.#onGone);
    if (request.destroyed) {
      process.nextTick(this.#onGone);
    }
  }

  /** Ends the reading; the connection stays open, since it still has to carry the error response. */
  fail(failure: BodyFailure): void {
    this.#finish(Err(failure), 0);
  }

  readonly #onData = (chunk: Buffer): void => {
    const { maxBytes, budget } = this.#options;
    this.#bytes += chunk.length;
    this.#chunks.push(chunk);
    this.#charge(this.#chunks.heldBytes);
    if (this.#bytes > maxBytes) {
      this.fail('too-large');
    } else if (budget.isExceeded) {
      this.fail('too-many-bytes-held');
    }
  };

  readonly #onWhole = (): void => {
    this.#finish(Ok(this.#chunks.takeAll()), this.#bytes);
  };

  readonly #onGone = (): void => {
    this.fail('caller-gone');
  };

  #charge(bytes: number): void {
    this.#options.budget.acquire(bytes - this.#chargedBytes);
    this.#chargedBytes = bytes;
  }

  /** @param heldBytes - what is held from now on */
  #finish(result: Result<Buffer, BodyFailure>, heldBytes: number): void {
    if (this.#isEnded) {
      return;
    }
    this.#isEnded = true;
    this.#request.off('data', this.#onData);
    this.#request.off('end', this.#onWhole);
    this.#request.off('error', this.#onGone);
    this.#request.off('close', this.#onGone);
    this.#request.pause();
    this.#chunks.clear();
    this.#charge(heldBytes);
    this.onEnd(result);
  }
}
