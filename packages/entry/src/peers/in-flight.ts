import { z } from 'zod';
import type { Counts } from './counts.js';
import { decodeRows, encodeRows } from './rows.js';

/** Requests at targets, by the name of the target's start; those without any are left out. */
export type InFlightCounts = Counts;

/** Requests at targets as rows of text. */
export const inFlightCountsSchema = z.string().transform((text, context): InFlightCounts => {
  const inFlight: Record<string, number> = {};
  for (const [start = '', count = ''] of decodeRows(text)) {
    const value = Number.parseInt(count, 10);
    if (Number.isNaN(value)) {
      context.addIssue(`expected rows of a target’s start and a count, not ${start}: ${count}`);
      return z.NEVER;
    }
    inFlight[start] = value;
  }
  return inFlight;
});

/** The form that {@link inFlightCountsSchema} reads. */
export function encodeInFlightCounts(inFlight: InFlightCounts): string {
  return encodeRows(Object.entries(inFlight));
}
