import { z } from 'zod';

/**
 * State of a request during which targets crashed. `suspected`: rejected. `tried`: rejected after it
 * was forwarded once more as a test. `cleared`: forwarded, since a target answered it.
 */
export const suspectStateSchema = z.enum(['suspected', 'tried', 'cleared']);

/** A request during which targets crashed, stored for hosts that start later. */
export const suspectRecordSchema = z.object({
  fingerprint: z.string().min(1),
  /** Incarnations of the targets that crashed. */
  targets: z.array(z.string().min(1)),
  state: suspectStateSchema,
});

export type SuspectState = z.infer<typeof suspectStateSchema>;
export type SuspectRecord = z.infer<typeof suspectRecordSchema>;
