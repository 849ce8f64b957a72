import type { SuspectCrash, SuspectReport } from '@ferrylock/routing';
import { z } from 'zod';
import { decodeRows, encodeRows } from './rows.js';

const AGE_UNIT_MILLISECONDS = 100;
const FIELDS_PER_CRASH = 3;

/**
 * Suspect requests, in flight at targets when these crashed, as rows: fingerprint, then target, age
 * and responses since for each crash. Malformed crashes are skipped.
 */
export const suspectsSchema = z.string().transform((text): SuspectReport[] =>
  decodeRows(text).map(([fingerprint = '', ...fields]) => ({
    fingerprint,
    crashes: parseCrashes(fields),
  })),
);

/** The form that {@link suspectsSchema} reads; empty without suspects. */
export function encodeSuspects(suspects: readonly SuspectReport[]): string {
  return encodeRows(
    suspects.map(({ fingerprint, crashes }) => [fingerprint, ...crashes.flatMap(crashFields)]),
  );
}

function crashFields({ target, ageMilliseconds, responses }: SuspectCrash): (string | number)[] {
  const age = Math.round(ageMilliseconds / AGE_UNIT_MILLISECONDS);
  return [target, age, responses];
}

function parseCrashes(fields: readonly string[]): SuspectCrash[] {
  const crashes: SuspectCrash[] = [];
  for (let index = 0; index + FIELDS_PER_CRASH <= fields.length; index += FIELDS_PER_CRASH) {
    const [target = '', age = '', responsesText = ''] = fields.slice(
      index,
      index + FIELDS_PER_CRASH,
    );
    const ageMilliseconds = Number.parseInt(age, 10) * AGE_UNIT_MILLISECONDS;
    const responses = Number.parseInt(responsesText, 10);
    if (target !== '' && ageMilliseconds >= 0 && responses >= 0) {
      crashes.push({ target, ageMilliseconds, responses });
    }
  }
  return crashes;
}
