import type { SuspectCrash, SuspectReport } from '@ferrylock/routing';
import { z } from 'zod';
import { decodeRows, encodeRows } from './rows.js';

/** Ages are told in tenths of a second: far below the time that they are kept for. */
const AGE_UNIT_MILLISECONDS = 100;
const FIELDS_OF_END = 3;

/**
 * Requests that were at targets when these ended, as rows of text: fingerprint, then target, age and answers
 * since of each end. An end that makes no sense is passed over.
 */
export const suspectsSchema = z.string().transform((text): SuspectReport[] =>
  decodeRows(text).map(([fingerprint = '', ...fields]) => ({
    fingerprint,
    crashes: parseCrashes(fields),
  })),
);

/** The form that {@link suspectsSchema} reads; empty where there are none. */
export function encodeSuspects(suspects: readonly SuspectReport[]): string {
  return encodeRows(
    suspects.map(({ fingerprint, crashes: ends }) => [fingerprint, ...ends.flatMap(crashFields)]),
  );
}

function crashFields({
  target,
  ageMilliseconds,
  responses: answers,
}: SuspectCrash): (string | number)[] {
  const age = Math.round(ageMilliseconds / AGE_UNIT_MILLISECONDS);
  return [target, age, answers];
}

function parseCrashes(fields: readonly string[]): SuspectCrash[] {
  const ends: SuspectCrash[] = [];
  for (let index = 0; index + FIELDS_OF_END <= fields.length; index += FIELDS_OF_END) {
    const [target = '', age = '', answered = ''] = fields.slice(index, index + FIELDS_OF_END);
    const ageMilliseconds = Number.parseInt(age, 10) * AGE_UNIT_MILLISECONDS;
    const answers = Number.parseInt(answered, 10);
    if (target !== '' && ageMilliseconds >= 0 && answers >= 0) {
      ends.push({ target, ageMilliseconds, responses: answers });
    }
  }
  return ends;
}
