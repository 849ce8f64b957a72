import { parse } from 'ini';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Declaration } from './declaration.js';
import { declarationSchema } from './declaration.js';
import type { FieldProblem } from './field-problem.js';
import { parseFields } from './field-problem.js';

/** Reads a declaration from a file's text: JSON where it starts with a brace, INI otherwise. */
export function parseDeclarationText(text: string): Result<Declaration, FieldProblem[]> {
  return readDocument(text).andThen((document) => parseFields(declarationSchema, document));
}

function readDocument(text: string): Result<unknown, FieldProblem[]> {
  if (!text.trimStart().startsWith('{')) {
    return Ok(withPlainObjects(parse(text)));
  }
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch (error) {
    return Err([{ field: '(whole)', message: `expected JSON: ${String(error)}` }]);
  }
}

/** The INI reader builds objects without a prototype, which schemas do not take for records. */
function withPlainObjects(value: unknown): unknown {
  if (Array.isArray(value) || typeof value !== 'object' || value === null) {
    return value;
  }
  return Object.fromEntries(
    Object.entries(value).map(([key, inner]) => [key, withPlainObjects(inner)]),
  );
}
