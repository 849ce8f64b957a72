import { z } from 'zod';
import { fleetChangeSchema } from '../fleet/fleet-record.js';
import { hostStatusesSchema } from './host-status.js';
import { inFlightSchema } from './in-flight.js';
import { storeAnswerSchema } from './store-answers.js';

/** Name of the notification that carries a {@link HostReport} in a datagram. */
export const REPORT_METHOD = 'entry.report';
/** Name of the notification that carries a {@link Digest} in a datagram. */
export const DIGEST_METHOD = 'entry.digest';
/** Name of the call that asks a peer for what it knows of the store. */
export const DELTA_METHOD = 'entry.delta';

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

/** What every message between hosts tells of the store and of targets. */
const knowledgeFields = {
  /** Revision of the newest change of the store that the sender knows. */
  lastChange: z.number().int(),
  /** The newest answer of the store that the sender knows of; absent where there was none. */
  storeAnswer: storeAnswerSchema.optional(),
  inFlight: inFlightSchema,
};

/** What an entry host tells the relays of its failure domain several times a second. */
export const hostReportSchema = z.object({
  /** The sender's own, one alone. */
  statuses: hostStatusesSchema,
  ...knowledgeFields,
});

/** What a relay tells: to other failure domains of its own one, to its own one of the whole fleet. */
export const digestSchema = z.object({
  /** Name of the relay. */
  from: z.string(),
  failureDomain: z.string(),
  scope: z.enum(['domain', 'fleet']),
  /** Hosts that are heard. For those of the relay's own domain, the reports that are counted in. */
  statuses: hostStatusesSchema,
  /** The last few changes, so that most receivers need not ask for them. */
  news: deltaResultSchema.omit({ isWhole: true, answeredAgeMilliseconds: true }).optional(),
  ...knowledgeFields,
});

export type DeltaParams = z.infer<typeof deltaParamsSchema>;
export type DeltaResult = z.infer<typeof deltaResultSchema>;
export type HostReport = z.infer<typeof hostReportSchema>;
export type Digest = z.infer<typeof digestSchema>;
