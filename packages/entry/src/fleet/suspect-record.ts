import { z } from 'zod';

/**
 * What is made of a request under which targets ended: `suspected`: it is turned away; `tried`: and it has been let
 * run once more since, to see whether it is the cause; `cleared`: it was answered, and may run.
 */
export const suspectStateSchema = z.enum(['suspected', 'tried', 'cleared']);

/** A request under which targets ended, as the store keeps it for hosts that start. */
export const suspectRecordSchema = z.object({
  fingerprint: z.string().min(1),
  /** Starts of targets that ended under it. */
  targets: z.array(z.string().min(1)),
  state: suspectStateSchema,
});

export type SuspectState = z.infer<typeof suspectStateSchema>;
export type SuspectRecord = z.infer<typeof suspectRecordSchema>;
