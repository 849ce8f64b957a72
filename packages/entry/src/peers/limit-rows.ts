import type { ReceivedLimit, UsageByName } from '@ferrylock/routing';
import { z } from 'zod';
import { decodeRows, encodeRows } from './rows.js';

/** Resolution of ages; limits of one target that are closer in time count as simultaneous. */
const AGE_UNIT_MILLISECONDS = 100;
/** Decimal digits of a rate; in a large fleet, a host may see less than one request per second. */
const RATE_DIGITS = 2;
const LIMIT_DIGITS = 6;

/** Limits advertised by targets and their usage, by target incarnation, as hosts exchange them. */
export interface ReportedLimits {
  readonly usage: UsageByName;
  /** Limits as the targets advertised them, with their ages. */
  readonly limits: ReadonlyMap<string, ReportedLimit>;
}

/** A limit reported by another host; `perSecond` is undefined where the target withdrew it. */
export interface ReportedLimit extends Pick<ReceivedLimit, 'perSecond'> {
  readonly ageMilliseconds: number;
}

/**
 * Limits as rows: target incarnation, limit, age, requests in the window, demand per second.
 * Malformed rows are skipped, so that the rest of the message still applies.
 */
export const limitsSchema = z.string().transform((text): ReportedLimits => {
  const used: Record<string, number> = {};
  const demand: Record<string, number> = {};
  const limits = new Map<string, ReportedLimit>();
  for (const [incarnation = '', ...fields] of decodeRows(text)) {
    const [limit = '', ...figures] = fields;
    const [age = NaN, inWindow = NaN, demandPerSecond = NaN] = figures.map(Number);
    const perSecond = limit === '' ? undefined : Number(limit);
    const isValidLimit = perSecond === undefined || perSecond >= 0;
    if (isValidLimit && age >= 0 && inWindow >= 0 && demandPerSecond >= 0) {
      limits.set(incarnation, { perSecond, ageMilliseconds: age * AGE_UNIT_MILLISECONDS });
      used[incarnation] = inWindow;
      demand[incarnation] = demandPerSecond;
    }
  }
  return { usage: { used, demand }, limits };
});

/** The form that {@link limitsSchema} reads; empty where no target advertises a limit. */
export function encodeLimits({ usage, limits }: ReportedLimits): string {
  return encodeRows(
    [...limits].map(([incarnation, { perSecond, ageMilliseconds }]) => [
      incarnation,
      perSecond === undefined ? '' : Number(perSecond.toPrecision(LIMIT_DIGITS)),
      Math.round(ageMilliseconds / AGE_UNIT_MILLISECONDS),
      usage.used[incarnation] ?? 0,
      Number((usage.demand[incarnation] ?? 0).toFixed(RATE_DIGITS)),
    ]),
  );
}
