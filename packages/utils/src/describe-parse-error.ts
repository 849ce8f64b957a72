/**
 * Describes a JSON parse error without the message of the engine, which quotes the input and could
 * disclose secrets such as API keys.
 */
export function describeParseError(error: unknown): string {
  return error instanceof SyntaxError ? 'invalid JSON' : String(error);
}
