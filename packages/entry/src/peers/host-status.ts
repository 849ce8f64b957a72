import { z } from 'zod';

const PERCENT = 100;

/**
 * One start of an entry host, as it says of itself. On the wire it is a list of five: a digest holds
 * one for every host that its sender hears.
 */
export const hostStatusSchema = z
  .tuple([z.string(), z.string(), z.number().int(), z.boolean(), z.number().int()])
  .transform(([name, incarnation, sequence, leaving, busyPercent]) => ({
    name,
    incarnation,
    sequence,
    leaving,
    busyShare: busyPercent / PERCENT,
  }));

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

/** The form that {@link hostStatusSchema} reads. */
export type HostStatusTuple = z.input<typeof hostStatusSchema>;

export function toTuple(status: HostStatus): HostStatusTuple {
  const { name, incarnation, sequence, leaving, busyShare } = status;
  return [name, incarnation, sequence, leaving, Math.round(busyShare * PERCENT)];
}
