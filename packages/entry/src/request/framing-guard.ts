import type { Socket } from 'node:net';
import { EndlessAnswer } from './endless-answer.js';

/** Bytes before the body; callers seldom take fields beyond 16 KB, informational heads are small. */
const HEAD_BYTES = 64 * 1024;
/** Bytes that frame a body: trailers, and the lines of chunks. */
const FRAMING_BYTES = 64 * 1024;
/** Bytes of a chunk of one byte, without that byte. */
const SMALL_CHUNK_FRAMING = 5;
/** Body bytes that may come in chunks of one byte; a large body costs too much processor time so. */
const SMALL_CHUNK_BYTES = 64 * 1024;

/**
 * Bounds what a target sends beyond the bodies of its answers, which the transport parses without
 * keeping it: informational heads, reason phrases, lines and extensions of chunks, blank lines.
 */
export class FramingGuard {
  readonly #socket: Socket;
  /** Bytes that the transport had taken from the connection when the request was sent. */
  #takenBefore = 0;
  #bodyBytes = 0;
  #hasHead = false;
  #onExceeded: ((error: EndlessAnswer) => void) | undefined;

  /** @param socket - connection whose bytes the transport takes in listeners added before */
  constructor(socket: Socket) {
    this.#socket = socket;
    socket.on('readable', () => {
      this.#check();
    });
  }

  /** Begins to count for a request that is sent on the connection. */
  begin(onExceeded: (error: EndlessAnswer) => void): void {
    this.#takenBefore = this.#takenBytes;
    this.#bodyBytes = 0;
    this.#hasHead = false;
    this.#onExceeded = onExceeded;
  }

  recordHead(): void {
    this.#hasHead = true;
  }

  recordBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }

  /** Ends the answer; what follows it closes the connection beyond the bound. */
  end(): void {
    this.#onExceeded = undefined;
  }

  /** What the transport has taken; the rest waits while it is paused. */
  get #takenBytes(): number {
    return this.#socket.bytesRead - this.#socket.readableLength;
  }

  get #maxBytes(): number {
    const smallChunks = SMALL_CHUNK_FRAMING * Math.min(this.#bodyBytes, SMALL_CHUNK_BYTES);
    return HEAD_BYTES + (this.#hasHead ? FRAMING_BYTES + smallChunks + this.#bodyBytes : 0);
  }

  #check(): void {
    const bytes = this.#takenBytes - this.#takenBefore - this.#bodyBytes;
    if (bytes <= this.#maxBytes || this.#socket.destroyed) {
      return;
    }
    if (this.#onExceeded === undefined) {
      this.#socket.destroy();
      return;
    }
    const part = this.#hasHead ? 'framing' : 'head';
    const message = `the ${part} of the answer exceeds ${this.#maxBytes} bytes`;
    this.#onExceeded(new EndlessAnswer(part, message));
  }
}
