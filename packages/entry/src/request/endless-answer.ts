/**
 * Part of an answer that exceeds its bound: what comes before the body, what frames the body, or the
 * body itself.
 */
export type AnswerPart = 'head' | 'framing' | 'body';

/** The bytes of an answer exceed what a sound answer needs. */
export class EndlessAnswer extends Error {
  constructor(
    readonly part: AnswerPart,
    message: string,
  ) {
    super(message);
  }
}

/** This host has no memory left for an answer; that says nothing of the target. */
export class NoRoomForAnswer extends Error {}
