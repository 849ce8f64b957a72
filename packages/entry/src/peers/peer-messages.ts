import { z } from 'zod';
import { fleetChangeSchema } from '../fleet/fleet-record.js';

/** Name of the notification that carries a {@link HostReport} in a datagram. */
export const REPORT_METHOD = 'entry.report';
/** Name of the call that asks a peer for what it knows of the store. */
export const DELTA_METHOD = 'entry.delta';

/** What an entry host tells its peers several times a second, in one datagram. */
export const hostReportSchema = z.object({
  name: z.string(),
  incarnation: z.string(),
  /** Grows with each report of an incarnation; older ones that arrive late are dropped. */
  sequence: z.number().int(),
  /** Revision of the newest change of the store that the sender knows. */
  lastChange: z.number().int(),
  /** How long ago the store itself told the sender that it held nothing newer; absent where never. */
  answeredAgeMilliseconds: z.number().optional(),
  /** It takes no new callers. */
  leaving: z.boolean(),
  /** Its requests at targets, by the target's id; those without any are left out. */
  inFlight: z.record(z.string(), z.number().int()),
});

export type HostReport = z.infer<typeof hostReportSchema>;

export const deltaParamsSchema = z.object({
  /** Revision of the newest change that the caller knows; 0 asks for everything. */
  afterRevision: z.number().int(),
});

/** What leads from the caller's revision to the peer's, or everything where that is unknown. */
export const deltaResultSchema = z.object({
  isWhole: z.boolean(),
  afterRevision: z.number().int(),
  revision: z.number().int(),
  answeredAgeMilliseconds: z.number().optional(),
  changes: z.array(fleetChangeSchema),
});

export type DeltaParams = z.infer<typeof deltaParamsSchema>;
export type DeltaResult = z.infer<typeof deltaResultSchema>;
