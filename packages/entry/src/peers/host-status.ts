import { z } from 'zod';
import { decodeRows, encodeRows } from './rows.js';

const PERCENT = 100;
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
  readonly busyShare: number;
}

/** Hosts' statuses as rows of text: a digest holds one for every host that its sender hears. */
export const hostStatusesSchema = z.string().transform((text, context): HostStatus[] => {
  const statuses = decodeRows(text).map(toStatus);
  if (statuses.some(({ sequence, busyShare }) => Number.isNaN(sequence + busyShare))) {
    context.addIssue('expected rows of name, incarnation, sequence, leaving and busy percent');
  }
  return statuses;
});

/** The form that {@link hostStatusesSchema} reads. */
export function encodeStatuses(statuses: readonly HostStatus[]): string {
  return encodeRows(
    statuses.map(({ name, incarnation, sequence, leaving, busyShare }) => [
      name,
      incarnation,
      sequence,
      leaving ? LEAVING : STAYING,
      Math.round(busyShare * PERCENT),
    ]),
  );
}

function toStatus([name = '', incarnation = '', ...rest]: readonly string[]): HostStatus {
  const [sequence, leaving, busyPercent] = rest;
  return {
    name,
    incarnation,
    sequence: Number.parseInt(sequence ?? '', 10),
    leaving: leaving === LEAVING,
    busyShare: Number.parseInt(busyPercent ?? '', 10) / PERCENT,
  };
}
