import { z } from 'zod';

/**
 * One start of an entry host, as it says of itself. On the wire it is a list of four: a digest holds
 * one for every host that its sender hears.
 */
export const hostStatusSchema = z
  .tuple([z.string(), z.string(), z.number().int(), z.boolean()])
  .transform(([name, incarnation, sequence, leaving]) => ({
    name,
    incarnation,
    sequence,
    leaving,
  }));

export interface HostStatus {
  readonly name: string;
  /** Names this start of its process. */
  readonly incarnation: string;
  /** Grows with each report of an incarnation, so that what is told again is known to be old. */
  readonly sequence: number;
  /** It takes no new callers. */
  readonly leaving: boolean;
}

/** The form that {@link hostStatusSchema} reads. */
export type HostStatusTuple = z.input<typeof hostStatusSchema>;

export function toTuple({ name, incarnation, sequence, leaving }: HostStatus): HostStatusTuple {
  return [name, incarnation, sequence, leaving];
}
