import { z } from 'zod';
import { networkAddressSchema } from './network-address.js';

/** Upper bound for plausible start times (the year 2100). */
const MAX_START_TIME = Date.UTC(2100);
/** One request runs on one connection, and a host has no more ports than this. */
const MAX_SLOTS = 65_535;
/** Far above any warm-up; a longer one would keep the target from ever being used. */
const MAX_COLD_MILLISECONDS = 24 * 60 * 60 * 1_000;
const MAX_NAME_LENGTH = 200;

const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
/** An id is sent in a header, where other characters are not allowed. */
const idSchema = nameSchema.regex(/^[\x21-\x7e]+$/, 'expected visible ASCII characters');

/** Registry record of one incarnation of a target. */
export const targetRecordSchema = z.object({
  /** Target id; shared by all incarnations. */
  id: idSchema,
  /** Start time in Unix milliseconds by its own clock; absent if not reported. */
  bornAt: z.number().int().nonnegative().max(MAX_START_TIME).optional(),
  /** Increases with each record of an incarnation; absent if not reported. */
  sequence: z.number().int().optional(),
  service: nameSchema,
  address: networkAddressSchema,
  failureDomain: nameSchema,
  softwareVersion: z.string(),
  slots: z.number().int().positive().max(MAX_SLOTS),
  state: z.enum(['ready', 'draining']),
  /** Remaining duration of the cold start at the time of recording. */
  coldMilliseconds: z.number().nonnegative().max(MAX_COLD_MILLISECONDS),
});

export type TargetRecord = z.infer<typeof targetRecordSchema>;
