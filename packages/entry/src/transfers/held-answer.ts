import { EndlessAnswer, NoRoomForAnswer } from '../request/endless-answer.js';
import type { ByteBudget } from './byte-budget.js';
import { ChunkQueue } from './chunk-queue.js';

/** Bound on a body whose length is not declared; a sound one of this size declares it. */
const MAX_UNDECLARED_BYTES = 8 * 1024 * 1024;
/** Share of the budget that one body of undeclared length may hold. */
const UNDECLARED_SHARE = 0.25;
/** Share of the budget that one body of declared length may hold: as much as is left for others. */
const MAX_SHARE = 0.5;
/** Declared length that is taken however small the budget is, while others hold little of it. */
const MIN_DECLARED_BYTES = 32 * 1024 * 1024;
/** Bytes that are held whatever the budget has left, so that small answers always pass. */
const SMALL_BYTES = 64 * 1024;

/** Body of an answer that is kept whole, within the bounds of one answer and of the host. */
export class HeldAnswer {
  readonly #chunks = new ChunkQueue();
  #bytes = 0;
  #maxBytes = Infinity;
  #isDeclared = false;

  constructor(readonly budget: ByteBudget) {}

  /**
   * @param contentLength - as the head declares it
   * @returns an error if such a body is never held
   */
  begin(contentLength: string | undefined): Error | undefined {
    const maxBytes = Math.max(MIN_DECLARED_BYTES, MAX_SHARE * this.budget.maxBytes);
    this.#isDeclared = contentLength !== undefined;
    const declaredBytes = Number(contentLength ?? 0);
    this.#maxBytes =
      contentLength === undefined
        ? Math.min(MAX_UNDECLARED_BYTES, UNDECLARED_SHARE * this.budget.maxBytes)
        : maxBytes;
    return declaredBytes > maxBytes
      ? new EndlessAnswer('body', `a body of ${declaredBytes} bytes, the bound is ${maxBytes}`)
      : undefined;
  }

  /** @returns an error if the chunk exceeds a bound; nothing is held any more then */
  push(chunk: Buffer): Error | undefined {
    const bytes = this.#bytes + chunk.length;
    if (bytes > this.#maxBytes) {
      this.drop();
      return new EndlessAnswer('body', `the body of the answer exceeds ${this.#maxBytes} bytes`);
    }
    if (bytes > SMALL_BYTES && !this.#hasRoom(bytes, chunk.length)) {
      this.drop();
      return new NoRoomForAnswer(`no memory for more than ${this.#bytes} bytes of the answer`);
    }
    this.#bytes = bytes;
    this.budget.acquire(chunk.length);
    this.#chunks.push(chunk);
    return undefined;
  }

  /** Whether all others keep as much as this body takes, or it is of known length and they hold little. */
  #hasRoom(bytes: number, added: number): boolean {
    const { freeBytes, heldBytes, maxBytes } = this.budget;
    const isAlmostAlone = heldBytes - this.#bytes <= MAX_SHARE * maxBytes;
    return bytes <= freeBytes - added || (this.#isDeclared && isAlmostAlone);
  }

  /** Returns the whole body, which the budget is charged for until it is released. */
  take(): Buffer {
    return this.#chunks.takeAll();
  }

  /** Returns the memory to the budget. */
  release(): void {
    this.budget.release(this.#bytes);
    this.#bytes = 0;
  }

  /** Holds nothing any more. */
  drop(): void {
    this.#chunks.clear();
    this.release();
  }
}
