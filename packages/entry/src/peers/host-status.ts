import { z } from 'zod';
import { decodeRows, encodeRows } from './rows.js';

const PERCENT = 100;
/** Decimal digits of a rate; in a large fleet, a host may see less than one request per second. */
const RATE_DIGITS = 2;
/** Rates in a status; the others are too low to affect where keys are placed. */
const MAX_STATUS_RATES = 16;
/** Rates in statuses that are shortened. */
const SHORTER_STATUS_RATES = { few: 2, none: 0 } as const;
/** Values of the field on whether a host accepts callers; a leaving host needs no other. */
const LEAVING = '1';
const REACHES_NONE = '2';
const SERVING = '0';

/** Status that one incarnation of an entry host reports. */
export interface HostStatus {
  readonly name: string;
  /** Identifies the process. */
  readonly incarnation: string;
  /** Increases with each report of an incarnation; used to discard stale reports. */
  readonly sequence: number;
  /** Accepts no new callers. */
  readonly leaving: boolean;
  /** Reaches no target, and serves callers only by way of other hosts. */
  readonly reachesNone: boolean;
  /** Fraction of time spent busy, from 0 to 1. */
  readonly utilization: number;
  /** Demand of its callers by service; zero rates are omitted. */
  readonly asked: RequestRates;
}

/** Requests per second by service. */
export type RequestRates = Readonly<Record<string, number>>;

/** Host statuses as rows. */
export const hostStatusesSchema = z.string().transform((text, context): HostStatus[] => {
  const statuses = decodeRows(text).map(toStatus);
  if (!statuses.every(isComplete)) {
    context.addIssue(
      'expected rows of name, incarnation, sequence, leaving, utilization, service rates',
    );
  }
  return statuses;
});

/** The form that {@link hostStatusesSchema} reads. */
export function encodeStatuses(statuses: readonly HostStatus[]): string {
  return encodeRows(
    statuses.map(({ name, incarnation, sequence, leaving, reachesNone, utilization, asked }) => [
      name,
      incarnation,
      sequence,
      standing(leaving, reachesNone),
      Math.round(utilization * PERCENT),
      ...rateFields(mainRates(asked, MAX_STATUS_RATES)),
    ]),
  );
}

function standing(leaving: boolean, reachesNone: boolean): string {
  if (leaving) {
    return LEAVING;
  }
  return reachesNone ? REACHES_NONE : SERVING;
}

function toStatus([name = '', incarnation = '', ...rest]: readonly string[]): HostStatus {
  const [sequence, standingField, utilizationPercent, ...rates] = rest;
  return {
    name,
    incarnation,
    sequence: Number.parseInt(sequence ?? '', 10),
    leaving: standingField === LEAVING,
    reachesNone: standingField === REACHES_NONE,
    utilization: Number.parseInt(utilizationPercent ?? '', 10) / PERCENT,
    asked: parseRates(rates),
  };
}

/** The form that {@link parseRates} reads. */
export function rateFields(rates: RequestRates): string[] {
  return Object.entries(rates).flatMap(([service, rate]) => [service, rate.toFixed(RATE_DIGITS)]);
}

/** Statuses with few of the highest rates, or none, where not all of them fit. */
export function withRates(
  statuses: readonly HostStatus[],
  kept: keyof typeof SHORTER_STATUS_RATES,
): HostStatus[] {
  const count = SHORTER_STATUS_RATES[kept];
  return statuses.map((status) => ({ ...status, asked: mainRates(status.asked, count) }));
}

/** The highest rates, at most so many. */
export function mainRates(rates: RequestRates, count: number): RequestRates {
  const entries = Object.entries(rates);
  return entries.length <= count
    ? rates
    : Object.fromEntries(entries.sort(([, a], [, b]) => b - a).slice(0, count));
}

/** Parses services, each followed by its rate. */
export function parseRates(fields: readonly string[]): RequestRates {
  const rates: Record<string, number> = {};
  for (let index = 0; index < fields.length; index += 2) {
    rates[fields[index] ?? ''] = Number.parseFloat(fields[index + 1] ?? '');
  }
  return rates;
}

function isComplete({ sequence, utilization, asked }: HostStatus): boolean {
  return ![sequence, utilization, ...Object.values(asked)].some(Number.isNaN);
}
