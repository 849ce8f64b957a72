import { z } from 'zod';
import type { Counts } from './counts.js';
import { decodeRows, encodeRows } from './rows.js';

/** Requests in flight by target incarnation; zero counts are omitted. */
export type InFlightCounts = Counts;

/** Requests in flight as rows: target incarnation, count. */
export const inFlightCountsSchema = z.string().transform((text, context): InFlightCounts => {
  const inFlight: Record<string, number> = {};
  for (const [incarnation = '', count = ''] of decodeRows(text)) {
    const value = Number.parseInt(count, 10);
    if (Number.isNaN(value)) {
      context.addIssue(`expected rows of target and count, got ${incarnation}: ${count}`);
      return z.NEVER;
    }
    inFlight[incarnation] = value;
  }
  return inFlight;
});

/** The form that {@link inFlightCountsSchema} reads. */
export function encodeInFlightCounts(inFlight: InFlightCounts): string {
  return encodeRows(Object.entries(inFlight));
}
