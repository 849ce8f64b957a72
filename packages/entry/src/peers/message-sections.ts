import type { UsageByName } from '@ferrylock/routing';
import type { InFlightCounts } from './in-flight.js';
import type { ReportedLimits } from './limit-rows.js';
import { countRows, fitRows } from './rows.js';

/**
 * Bounds on the sections of a message, in bytes of their JSON. With the changes of the store and the
 * other fields, a digest stays below what a datagram carries.
 */
export const MAX_SECTION_BYTES = {
  statuses: 12_000,
  absent: 8_000,
  reachingNone: 8_000,
  regions: 6_000,
  counted: 2_500,
  inFlight: 24_000,
  accounts: 6_000,
  limits: 6_000,
  suspects: 6_000,
} as const;

export type SectionName = keyof typeof MAX_SECTION_BYTES;

/** Numbers of rows left out or shortened, by section; sections that are whole are absent. */
export type OmittedRows = Partial<Record<SectionName, number>>;

/** Fits the sections of one message into their bounds, and keeps what it had to leave out. */
export class MessageSections {
  readonly omitted: OmittedRows = {};

  /**
   * @param rows - the rows as text
   * @param shorter - ways to write them that are tried in turn if they do not fit; of the last one,
   *   with the most important rows first, rows are left out
   */
  fit(name: SectionName, rows: string, ...shorter: readonly (() => string)[]): string {
    const maxBytes = MAX_SECTION_BYTES[name];
    let fitted = fitRows(rows, maxBytes);
    if (fitted.omitted === 0) {
      return rows;
    }
    for (const write of shorter) {
      const text = write();
      fitted = fitRows(text, maxBytes);
      if (fitted.omitted === 0) {
        this.omitted[name] = countRows(text);
        return text;
      }
    }
    this.omitted[name] = fitted.omitted;
    return fitted.text;
  }
}

/** Targets with the most requests first. */
export function busiestFirst(inFlight: InFlightCounts): InFlightCounts {
  return Object.fromEntries(Object.entries(inFlight).sort(([, a], [, b]) => b - a));
}

/** Accounts with the most requests first. */
export function mostUsedFirst({ used, demand }: UsageByName): UsageByName {
  const sorted = Object.entries(used).sort(([, a], [, b]) => b - a);
  return { used: Object.fromEntries(sorted), demand };
}

/** Limits of the targets with the most requests first. */
export function mostUsedLimitsFirst({ usage, limits }: ReportedLimits): ReportedLimits {
  const used = (incarnation: string): number => usage.used[incarnation] ?? 0;
  return { usage, limits: new Map([...limits].sort(([a], [b]) => used(b) - used(a))) };
}

/** Items from a turn's place on, so that each is left out in some turns only. */
export function inTurn<Item>(items: readonly Item[], turn: number): Item[] {
  const start = items.length === 0 ? 0 : turn % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
