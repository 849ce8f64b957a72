import { z } from 'zod';

/** What is recorded about one start of a target. */
export const targetRecordSchema = z.object({
  /** Names this start of the target; a restart has another one. */
  id: z.string().min(1),
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
