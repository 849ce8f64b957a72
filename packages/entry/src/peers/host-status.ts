import { z } from 'zod';
import { decodeRows, encodeRows } from './rows.js';

const PERCENT = 100;
/**
 * Digits after the point of a rate. In a large fleet a host has less than one request a second of a
 * service: rounded to whole ones, what its region asks for came out as nothing or as too much.
 */
const RATE_DIGITS = 2;
const LEAVING = '1';
const STAYING = '0';

/** One start of an entry host, as it says of itself. */
export interface HostStatus {
  readonly name: string;
  /** Names this start of its process. */
  readonly incarnation: string;
  /** Grows with each report of an incarnation, so that what is told again is known to be old. */
  readonly sequence: number;
  /** It takes no new callers. */
  readonly leaving: boolean;
  /** Part of its time in which it has work, from 0 to 1. */
  readonly utilization: number;
  /** Requests a second of its callers, by service; services without any are left out. */
  readonly asked: RequestRates;
}

/** Requests a second by service. */
export type RequestRates = Readonly<Record<string, number>>;

/** Hosts' statuses as rows of text: a digest holds one for every host that its sender hears. */
export const hostStatusesSchema = z.string().transform((text, context): HostStatus[] => {
  const statuses = decodeRows(text).map(toStatus);
  if (!statuses.every(isComplete)) {
    context.addIssue(
      'expected rows of name, incarnation, sequence, leaving, busy percent, services and their rates',
    );
  }
  return statuses;
});

/** The form that {@link hostStatusesSchema} reads. */
export function encodeStatuses(statuses: readonly HostStatus[]): string {
  return encodeRows(
    statuses.map(({ name, incarnation, sequence, leaving, utilization: busyShare, asked }) => [
      name,
      incarnation,
      sequence,
      leaving ? LEAVING : STAYING,
      Math.round(busyShare * PERCENT),
      ...rateFields(asked),
    ]),
  );
}

function toStatus([name = '', incarnation = '', ...rest]: readonly string[]): HostStatus {
  const [sequence, leaving, busyPercent, ...rates] = rest;
  return {
    name,
    incarnation,
    sequence: Number.parseInt(sequence ?? '', 10),
    leaving: leaving === LEAVING,
    utilization: Number.parseInt(busyPercent ?? '', 10) / PERCENT,
    asked: parseRates(rates),
  };
}

/** Services and their rates in turn, as {@link parseRates} reads them. */
export function rateFields(rates: RequestRates): string[] {
  return Object.entries(rates).flatMap(([service, rate]) => [service, rate.toFixed(RATE_DIGITS)]);
}

/** Services and their rates in turn. */
export function parseRates(fields: readonly string[]): RequestRates {
  const rates: Record<string, number> = {};
  for (let index = 0; index < fields.length; index += 2) {
    rates[fields[index] ?? ''] = Number.parseFloat(fields[index + 1] ?? '');
  }
  return rates;
}

function isComplete({ sequence, utilization: busyShare, asked }: HostStatus): boolean {
  return ![sequence, busyShare, ...Object.values(asked)].some(Number.isNaN);
}
