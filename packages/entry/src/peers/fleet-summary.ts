import { z } from 'zod';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { RequestRates } from './host-status.js';
import { rateFields, parseRates } from './host-status.js';
import { decodeRows, encodeRows } from './rows.js';

/** Digits after the point of cores: thousandths are far below what a host can tell apart. */
const CORES_DIGITS = 3;

/** One region as relays tell it. */
export interface RegionSummary {
  /** Cores that its hosts are busy with. */
  readonly busyCores: number;
  /** What its callers ask for. */
  readonly asked: RequestRates;
}

/**
 * The whole fleet as a relay tells it to the hosts of its failure domain. All registered hosts take
 * callers but those that it names: on an ordinary day that is an empty list, where a row for each
 * host would be read by each host several times a second.
 */
export interface FleetSummary {
  /** Starts of hosts that are silent or leave, as {@link incarnationKey} names them. */
  readonly absent: ReadonlySet<string>;
  readonly regions: ReadonlyMap<string, RegionSummary>;
}

/** Names one start of a host. */
export function incarnationKey({
  name,
  incarnation,
}: Pick<EntryHostRecord, 'name' | 'incarnation'>) {
  return `${name} ${incarnation}`;
}

export function isAbsent({ absent }: FleetSummary, host: EntryHostRecord): boolean {
  return absent.size > 0 && absent.has(incarnationKey(host));
}

/** Regions as rows of text: name, work, then services and their rates. */
export const regionSummariesSchema = z.string().transform((text, context) => {
  const regions = new Map<string, RegionSummary>();
  for (const [region = '', work = '', ...rates] of decodeRows(text)) {
    const told = { busyCores: Number(work), asked: parseRates(rates) };
    if (![told.busyCores, ...Object.values(told.asked)].every(Number.isFinite)) {
      context.addIssue('expected rows of a region, cores, services and their rates');
      return z.NEVER;
    }
    regions.set(region, told);
  }
  return regions;
});

/** The form that {@link regionSummariesSchema} reads. */
export function encodeRegionSummaries(regions: ReadonlyMap<string, RegionSummary>): string {
  return encodeRows(
    [...regions].map(([region, { busyCores: work, asked }]) => [
      region,
      work.toFixed(CORES_DIGITS),
      ...rateFields(asked),
    ]),
  );
}

/** Starts of hosts as rows of text. */
export const incarnationKeysSchema = z
  .string()
  .transform((text) => new Set(decodeRows(text).map(([start = '']) => start)));

/** The form that {@link incarnationKeysSchema} reads. */
export function encodeIncarnationKeys(starts: Iterable<string>): string {
  return encodeRows([...starts].map((start) => [start]));
}
