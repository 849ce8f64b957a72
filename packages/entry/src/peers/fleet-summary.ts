import { z } from 'zod';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { RequestRates } from './host-status.js';
import { mainRates, rateFields, parseRates } from './host-status.js';
import { decodeRows, encodeRows } from './rows.js';

/** Decimal digits of a number of cores. */
const CORES_DIGITS = 3;

/** State of one region as reported by relays. */
export interface RegionSummary {
  /** Busy cores of its hosts. */
  readonly busyCores: number;
  /** Demand of its callers. */
  readonly asked: RequestRates;
}

/**
 * State of the whole fleet as a relay reports it to the hosts of its failure domain. It lists the
 * registered hosts that do not serve, usually none, to keep digests small.
 */
export interface FleetSummary {
  /** Hosts that timed out or are leaving, by {@link incarnationKey}. */
  readonly absent: ReadonlySet<string>;
  /** Live hosts that reach no target, by {@link incarnationKey}. */
  readonly reachingNone: ReadonlySet<string>;
  readonly regions: ReadonlyMap<string, RegionSummary>;
}

/** Key of one incarnation of a host. */
export function incarnationKey({
  name,
  incarnation,
}: Pick<EntryHostRecord, 'name' | 'incarnation'>) {
  return `${name} ${incarnation}`;
}

export function isAbsent({ absent }: FleetSummary, host: EntryHostRecord): boolean {
  return absent.size > 0 && absent.has(incarnationKey(host));
}

export function isReachingNone({ reachingNone }: FleetSummary, host: EntryHostRecord): boolean {
  return reachingNone.size > 0 && reachingNone.has(incarnationKey(host));
}

/** Regions as rows: name, busy cores, then services and their rates. */
export const regionSummariesSchema = z.string().transform((text, context) => {
  const regions = new Map<string, RegionSummary>();
  for (const [region = '', busyCores = '', ...rates] of decodeRows(text)) {
    const summary = { busyCores: Number(busyCores), asked: parseRates(rates) };
    if (![summary.busyCores, ...Object.values(summary.asked)].every(Number.isFinite)) {
      context.addIssue('expected rows of region, busy cores and service rates');
      return z.NEVER;
    }
    regions.set(region, summary);
  }
  return regions;
});

/** The form that {@link regionSummariesSchema} reads. */
export function encodeRegionSummaries(regions: ReadonlyMap<string, RegionSummary>): string {
  return encodeRows(
    [...regions].map(([region, { busyCores, asked }]) => [
      region,
      busyCores.toFixed(CORES_DIGITS),
      ...rateFields(asked),
    ]),
  );
}

/** Rates of each region that are kept where not all of them fit. */
const MAIN_RATES = 4;

/** Regions with their highest rates alone. */
export function withMainRates(
  regions: ReadonlyMap<string, RegionSummary>,
): Map<string, RegionSummary> {
  return new Map(
    [...regions].map(([region, { busyCores, asked }]) => [
      region,
      { busyCores, asked: mainRates(asked, MAIN_RATES) },
    ]),
  );
}

/** Incarnation keys of hosts as rows. */
export const incarnationKeysSchema = z
  .string()
  .transform((text) => new Set(decodeRows(text).map(([key = '']) => key)));

/** The form that {@link incarnationKeysSchema} reads. */
export function encodeIncarnationKeys(keys: Iterable<string>): string {
  return encodeRows([...keys].map((key) => [key]));
}
