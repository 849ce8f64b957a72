import type { AnswerPart } from './endless-answer.js';
import { EndlessAnswer } from './endless-answer.js';

/** What exceeded its bound; `room` stands for this host's memory. */
export type ExceededPart = AnswerPart | 'room';

/** Counts answers that were cut off since they exceeded a bound. */
export class EndlessAnswerCounts {
  readonly #counts = new Map<ExceededPart, number>();

  get counts(): ReadonlyMap<ExceededPart, number> {
    return this.#counts;
  }

  record(error: Error): void {
    const part = error instanceof EndlessAnswer ? error.part : 'room';
    this.#counts.set(part, (this.#counts.get(part) ?? 0) + 1);
  }
}
