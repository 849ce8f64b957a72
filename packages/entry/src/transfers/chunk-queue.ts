/** Shorter chunks are copied together: the object for each would take more than its bytes. */
export const SMALL_CHUNK_BYTES = 1_024;
const BLOCK_BYTES = 16 * 1024;

/** Chunks of a body in their order; small ones are joined. */
export class ChunkQueue {
  readonly #chunks: Buffer[] = [];
  /** Small chunks at the end, copied together. */
  #block: Buffer | undefined;
  #blockBytes = 0;
  #chunkBytes = 0;

  /** Memory that the chunks take, with the room for further small ones. */
  get heldBytes(): number {
    return this.#chunkBytes + (this.#block?.length ?? 0);
  }

  get isEmpty(): boolean {
    return this.#chunks.length === 0 && this.#blockBytes === 0;
  }

  push(chunk: Buffer): void {
    if (chunk.length >= SMALL_CHUNK_BYTES || this.isEmpty) {
      this.#closeBlock();
      this.#add(chunk);
      return;
    }
    if (this.#blockBytes + chunk.length > BLOCK_BYTES) {
      this.#closeBlock();
    }
    this.#block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES);
    this.#blockBytes += chunk.copy(this.#block, this.#blockBytes);
  }

  shift(): Buffer | undefined {
    if (this.#chunks.length === 0) {
      this.#closeBlock();
    }
    const first = this.#chunks.shift();
    this.#chunkBytes -= first?.length ?? 0;
    return first;
  }

  /** Takes all chunks as one. */
  takeAll(): Buffer {
    this.#closeBlock();
    const [first] = this.#chunks;
    const isOne = this.#chunks.length === 1;
    const all = isOne && first !== undefined ? first : Buffer.concat(this.#chunks);
    this.clear();
    return all;
  }

  clear(): void {
    this.#chunks.length = 0;
    this.#chunkBytes = 0;
    this.#block = undefined;
    this.#blockBytes = 0;
  }

  #closeBlock(): void {
    if (this.#block !== undefined && this.#blockBytes > 0) {
      this.#add(Buffer.from(this.#block.subarray(0, this.#blockBytes)));
      this.#blockBytes = 0;
    }
  }

  #add(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#chunkBytes += chunk.length;
  }
}
