import { z } from 'zod';

/** Upper bound for plausible start times (the year 2100). */
const MAX_START_TIME = Date.UTC(2100);

/** Registry record of one incarnation of a target. */
export const targetRecordSchema = z.object({
  /** Target id; shared by all incarnations. */
  id: z.string().min(1),
  /** Start time in Unix milliseconds by its own clock; absent if not reported. */
  bornAt: z.number().int().nonnegative().max(MAX_START_TIME).optional(),
  /** Increases with each record of an incarnation; absent if not reported. */
  sequence: z.number().int().optional(),
  service: z.string().min(1),
  /** IP address and port. */
  address: z.string().min(1),
  failureDomain: z.string().min(1),
  softwareVersion: z.string(),
  slots: z.number().int().positive(),
  state: z.enum(['ready', 'draining']),
  /** Remaining duration of the cold start at the time of recording. */
  coldMilliseconds: z.number().nonnegative(),
});

export type TargetRecord = z.infer<typeof targetRecordSchema>;
