/** Bounds the memory of all bodies that an entry host holds, of requests and of answers. */
export class ByteBudget {
  #heldBytes = 0;

  /** @param maxBytes - limit for the bytes of all bodies together */
  constructor(readonly maxBytes: number) {}

  get heldBytes(): number {
    return this.#heldBytes;
  }

  get freeBytes(): number {
    return Math.max(0, this.maxBytes - this.#heldBytes);
  }

  get isExceeded(): boolean {
    return this.#heldBytes > this.maxBytes;
  }

  /** Acquires bytes if they are free. */
  tryAcquire(bytes: number): boolean {
    if (bytes > this.freeBytes) {
      return false;
    }
    this.#heldBytes += bytes;
    return true;
  }

  /** Counts bytes that are held already. */
  acquire(bytes: number): void {
    this.#heldBytes += bytes;
  }

  release(bytes: number): void {
    this.#heldBytes -= bytes;
  }
}
