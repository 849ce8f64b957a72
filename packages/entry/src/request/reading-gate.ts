import type { Socket } from 'node:net';
import type { AnswerSource } from '../transfers/answer-transfer.js';

/**
 * Lets a target wait by leaving its bytes in the connection. The transport's own pause must not be
 * used: an assertion fails, outside of any request, if the connection ends or is reset during it.
 */
export class ReadingGate implements AnswerSource {
  readonly #socket: Socket;
  #isPaused = false;

  /** @param socket - connection that the transport reads from */
  constructor(socket: Socket) {
    this.#socket = socket;
    const read = socket.read.bind(socket) as (size?: number) => unknown;
    socket.read = (size?: number): unknown => (this.#isPaused ? null : read(size));
  }

  /** Stops reading; the rest of what was read together with the last bytes still comes. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Reads on; must not be called while the transport passes bytes on. */
  resume(): void {
    if (this.#isPaused) {
      this.#isPaused = false;
      this.#socket.emit('readable');
    }
  }

  /** Ends the pause of an answer that is over. */
  open(): void {
    this.#isPaused = false;
  }
}
