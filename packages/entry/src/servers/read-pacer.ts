import type { AfterPoll } from '../after-poll.js';

/**
 * Parts that all connections together may hand to their parsers in one turn of the event loop. Each
 * costs a few tens of microseconds up to a third of a millisecond, so a turn stays short.
 */
const PARTS_PER_TURN = 16;

/** A connection with bytes that its parser has not got. */
export interface WaitingReader {
  /** Whether it goes before others, which have more requests or longer ones. */
  readonly isUrgent: boolean;
  /** Hands one part to the parser; true if it can hand on another one. */
  readPart(): boolean;
}

/**
 * Shares the processor time of parsing among connections. What one connection has sent ahead, or in
 * many small pieces, is parsed in parts, in turn with those of others, and all that has been polled
 * meanwhile goes before.
 */
export class ReadPacer {
  readonly #afterPoll: AfterPoll;
  readonly #urgent = new Set<WaitingReader>();
  readonly #others = new Set<WaitingReader>();
  #left = PARTS_PER_TURN;
  #isTurnWatched = false;

  constructor(afterPoll: AfterPoll) {
    this.#afterPoll = afterPoll;
  }

  /** Takes the cost of one part from this turn; false if it has to wait for another. */
  tryTake(): boolean {
    if (this.#left === 0) {
      return false;
    }
    this.#left--;
    this.#watchTurn();
    return true;
  }

  /** Lets a connection read in a later turn. */
  add(reader: WaitingReader): void {
    (reader.isUrgent ? this.#urgent : this.#others).add(reader);
    this.#watchTurn();
  }

  remove(reader: WaitingReader): void {
    this.#urgent.delete(reader);
    this.#others.delete(reader);
  }

  #watchTurn(): void {
    if (!this.#isTurnWatched) {
      this.#isTurnWatched = true;
      this.#afterPoll(() => {
        this.#isTurnWatched = false;
        this.#left = PARTS_PER_TURN;
        this.#readWaiting();
      });
    }
  }

  #readWaiting(): void {
    for (let next = this.#next(); next !== undefined && this.tryTake(); next = this.#next()) {
      this.remove(next);
      if (next.readPart()) {
        this.add(next);
      }
    }
  }

  #next(): WaitingReader | undefined {
    const [urgent] = this.#urgent;
    const [other] = urgent === undefined ? this.#others : [];
    return urgent ?? other;
  }
}
