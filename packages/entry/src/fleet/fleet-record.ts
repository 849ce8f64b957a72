import { routeConfigurationSchema, targetRecordSchema } from '@ferrylock/routing';
import { z } from 'zod';
import { suspectRecordSchema } from './suspect-record.js';

/** One start of an entry host: where it can be reached and what it can carry. */
export const entryHostRecordSchema = z.object({
  name: z.string().min(1),
  /** Names this start of its process. */
  incarnation: z.string().min(1),
  failureDomain: z.string().min(1),
  region: z.string().min(1),
  /** IP number and port for callers' requests. */
  trafficAddress: z.string().min(1),
  /** IP number and port for JSON-RPC calls of other entry hosts. */
  controlAddress: z.string().min(1),
  /** IP number and port for datagrams of other entry hosts. */
  reportAddress: z.string().min(1),
  /** What it can carry, in cores; callers are spread in proportion. */
  capacity: z.number().positive(),
});

/** What the store holds under one key, decoded. */
export const fleetRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('configuration'), configuration: routeConfigurationSchema }),
  z.object({ kind: z.literal('evacuation'), failureDomain: z.string().min(1) }),
  z.object({ kind: z.literal('target'), target: targetRecordSchema }),
  z.object({ kind: z.literal('entryHost'), host: entryHostRecordSchema }),
  z.object({ kind: z.literal('suspect'), suspect: suspectRecordSchema }),
]);

/** A key's latest change; one without a record says that the key is gone. */
export const fleetChangeSchema = z.object({
  key: z.string(),
  /** The life of the store that the revision belongs to; absent, as 0, before the store tells of any return. */
  epoch: z.number().int().nonnegative().optional(),
  /** The store's revision that made the change. */
  revision: z.number().int(),
  record: fleetRecordSchema.optional(),
  /** Whether there is a value that cannot be read, as another program writes it. Such a value names nothing. */
  isUnreadable: z.boolean().optional(),
  /**
   * Whether it was found in a listing after the store had come back from a copy. It may be of the copy then, and older
   * than what was known.
   */
  isListed: z.boolean().optional(),
});

export type EntryHostRecord = z.infer<typeof entryHostRecordSchema>;
export type FleetRecord = z.infer<typeof fleetRecordSchema>;
export type FleetChange = z.infer<typeof fleetChangeSchema>;
