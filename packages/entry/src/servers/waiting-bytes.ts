/** A connection of which bytes were read that its parser has not got. */
export interface WaitingBytesHolder {
  /** Closes it, since all connections together hold too much. */
  giveUp(): void;
}

/**
 * Bounds the bytes that were read from all connections and wait for their parsers. Beyond it, the
 * connection gives way that has had some for the longest: what it has sent ahead is never done.
 */
export class WaitingBytes {
  readonly #maxBytes: number;
  readonly #holders = new Map<WaitingBytesHolder, number>();
  #total = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get total(): number {
    return this.#total;
  }

  /** Records what a connection holds from now on. */
  set(holder: WaitingBytesHolder, bytes: number): void {
    const before = this.#holders.get(holder) ?? 0;
    this.#total += bytes - before;
    if (bytes === 0) {
      this.#holders.delete(holder);
    } else {
      this.#holders.set(holder, bytes);
    }
    while (this.#total > this.#maxBytes) {
      this.#giveWay();
    }
  }

  #giveWay(): void {
    const [longest] = this.#holders.keys();
    if (longest !== undefined) {
      this.set(longest, 0);
      longest.giveUp();
    }
  }
}
