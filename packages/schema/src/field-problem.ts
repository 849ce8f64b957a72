import type { z } from 'zod';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** One thing wrong with an input: which field, and what was expected there. */
export interface FieldProblem {
  readonly field: string;
  readonly message: string;
}

/** Checks a value by its schema and names every faulty field at once. */
export function parseFields<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): Result<z.output<Schema>, FieldProblem[]> {
  const parsed = schema.safeParse(value);
  return parsed.success ? Ok(parsed.data) : Err(parsed.error.issues.map(toFieldProblem));
}

/** All problems on one line, for an error message. */
export function describeProblems(problems: readonly FieldProblem[]): string {
  return problems.map((problem) => `${problem.field}: ${problem.message}`).join('; ');
}

function toFieldProblem(issue: z.core.$ZodIssue): FieldProblem {
  const field = issue.path.map(String).join('.');
  return { field: field === '' ? '(whole)' : field, message: issue.message };
}
