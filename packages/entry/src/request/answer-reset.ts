/** The connection was reset before an answer ended that its end should have completed. */
export class AnswerReset extends Error {
  constructor() {
    super('reset before the end of the answer');
  }
}
