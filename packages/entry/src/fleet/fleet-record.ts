import { routeConfigurationSchema, targetRecordSchema } from '@ferrylock/routing';
import { z } from 'zod';
import { suspectRecordSchema } from './suspect-record.js';

/** Registration of one incarnation of an entry host. */
export const entryHostRecordSchema = z.object({
  name: z.string().min(1),
  /** Identifies one run of the process. */
  incarnation: z.string().min(1),
  failureDomain: z.string().min(1),
  region: z.string().min(1),
  /** IP address and port for callers' requests. */
  trafficAddress: z.string().min(1),
  /** IP address and port for JSON-RPC calls of other entry hosts. */
  controlAddress: z.string().min(1),
  /** IP address and port for datagrams of other entry hosts. */
  reportAddress: z.string().min(1),
  /** Capacity in cores; callers are distributed in proportion to it. */
  capacity: z.number().positive(),
});

/** Decoded value of one key of the store. */
export const fleetRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('configuration'), configuration: routeConfigurationSchema }),
  z.object({ kind: z.literal('evacuation'), failureDomain: z.string().min(1) }),
  z.object({ kind: z.literal('target'), target: targetRecordSchema }),
  z.object({ kind: z.literal('entryHost'), host: entryHostRecordSchema }),
  z.object({ kind: z.literal('suspect'), suspect: suspectRecordSchema }),
]);

/** Latest change of a key; a change without a record is a deletion. */
export const fleetChangeSchema = z.object({
  key: z.string(),
  /** Epoch of the store that the revision belongs to; absent means 0. */
  epoch: z.number().int().nonnegative().optional(),
  /** Revision of the store at which the change was made. */
  revision: z.number().int(),
  record: fleetRecordSchema.optional(),
  /** Whether the key has a value that cannot be decoded; it is treated as absent. */
  isUnreadable: z.boolean().optional(),
  /** Whether it comes from a listing after a restore, and so may be older than what was known. */
  isListed: z.boolean().optional(),
});

export type EntryHostRecord = z.infer<typeof entryHostRecordSchema>;
export type FleetRecord = z.infer<typeof fleetRecordSchema>;
export type FleetChange = z.infer<typeof fleetChangeSchema>;
