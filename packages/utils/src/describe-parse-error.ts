/**
 * What is said of a text that could not be read. The engine's own message quotes some characters of the
 * text, which may be a secret, such as the key of a client account.
 */
export function describeParseError(error: unknown): string {
  return error instanceof SyntaxError ? 'no whole JSON' : String(error);
}
