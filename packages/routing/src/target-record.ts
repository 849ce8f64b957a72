import { z } from 'zod';

/** The year 2100: what is said to begin later was not written by a target. */
const LATEST_BIRTH = Date.UTC(2100);

/** What is recorded about one start of a target. */
export const targetRecordSchema = z.object({
  /** The target's name; another start of it may have the same. */
  id: z.string().min(1),
  /** When this start began, in Unix milliseconds by its own clock; absent where the target does not tell. */
  bornAt: z.number().int().nonnegative().max(LATEST_BIRTH).optional(),
  /** Grows with each record of one start; absent where the target does not tell. */
  sequence: z.number().int().optional(),
  service: z.string().min(1),
  /** IP number and port. */
  address: z.string().min(1),
  failureDomain: z.string().min(1),
  softwareVersion: z.string(),
  slots: z.number().int().positive(),
  state: z.enum(['ready', 'draining']),
  /** How much longer it stays slow, as of when it was recorded. */
  coldMilliseconds: z.number().nonnegative(),
});

export type TargetRecord = z.infer<typeof targetRecordSchema>;
