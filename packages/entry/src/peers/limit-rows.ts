import type { ReceivedLimit, UsageByName } from '@ferrylock/routing';
import { z } from 'zod';
import { decodeRows, encodeRows } from './rows.js';

/** Ages are told in tenths of a second: words of one target that are closer count as said at once. */
const AGE_UNIT_MILLISECONDS = 100;
/** Requests a second are told in hundredths: in a large fleet a host has less than one. */
const RATE_DIGITS = 2;
const LIMIT_DIGITS = 6;

/** What hosts tell each other of targets that name limits, by starts of these. */
export interface ReportedLimits {
  readonly usage: UsageByName;
  /** What the targets named, as long ago as it says. */
  readonly limits: ReadonlyMap<string, ReportedLimit>;
}

/** A limit as another host tells it; none where the target took it back. */
export interface ReportedLimit extends Pick<ReceivedLimit, 'perSecond'> {
  readonly ageMilliseconds: number;
}

/**
 * Limits as rows of text: start, limit, age, requests in the window, requests a second that are wanted. A row that makes no sense is
 * passed over: the other news of its message counts all the same.
 */
export const limitsSchema = z.string().transform((text): ReportedLimits => {
  const used: Record<string, number> = {};
  const asked: Record<string, number> = {};
  const words = new Map<string, ReportedLimit>();
  for (const [start = '', ...fields] of decodeRows(text)) {
    const [limit = '', ...figures] = fields;
    const [age = NaN, ofWindow = NaN, ofSecond = NaN] = figures.map(Number);
    const perSecond = limit === '' ? undefined : Number(limit);
    const isReadable = perSecond === undefined || perSecond >= 0;
    if (isReadable && age >= 0 && ofWindow >= 0 && ofSecond >= 0) {
      words.set(start, { perSecond, ageMilliseconds: age * AGE_UNIT_MILLISECONDS });
      used[start] = ofWindow;
      asked[start] = ofSecond;
    }
  }
  return { usage: { used, demand: asked }, limits: words };
});

/** The form that {@link limitsSchema} reads; empty where no target names a limit. */
export function encodeLimits({ usage, limits: words }: ReportedLimits): string {
  return encodeRows(
    [...words].map(([start, { perSecond, ageMilliseconds }]) => [
      start,
      perSecond === undefined ? '' : Number(perSecond.toPrecision(LIMIT_DIGITS)),
      Math.round(ageMilliseconds / AGE_UNIT_MILLISECONDS),
      usage.used[start] ?? 0,
      Number((usage.demand[start] ?? 0).toFixed(RATE_DIGITS)),
    ]),
  );
}
