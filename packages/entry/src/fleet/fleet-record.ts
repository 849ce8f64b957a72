import {
  networkAddressSchema,
  routeConfigurationSchema,
  targetRecordSchema,
} from '@ferrylock/routing';
import { z } from 'zod';
import { suspectRecordSchema } from './suspect-record.js';

/** Far above any machine; a larger value would draw all callers. */
const MAX_CAPACITY_CORES = 4_096;

/** Registration of one incarnation of an entry host. */
export const entryHostRecordSchema = z.object({
  name: z.string().min(1),
  /** Identifies one run of the process. */
  incarnation: z.string().min(1),
  failureDomain: z.string().min(1),
  region: z.string().min(1),
  /** For callers' requests. */
  trafficAddress: networkAddressSchema,
  /** For JSON-RPC calls of other entry hosts. */
  controlAddress: networkAddressSchema,
  /** For datagrams of other entry hosts. */
  reportAddress: networkAddressSchema,
  /** Capacity in cores; callers are distributed in proportion to it. */
  capacity: z.number().positive().max(MAX_CAPACITY_CORES),
});

/** Decoded value of one key of the store. */
export const fleetRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('configuration'), configuration: routeConfigurationSchema }),
  z.object({ kind: z.literal('evacuation'), failureDomain: z.string().min(1) }),
  z.object({ kind: z.literal('target'), target: targetRecordSchema }),
  z.object({ kind: z.literal('entryHost'), host: entryHostRecordSchema }),
  z.object({ kind: z.literal('suspect'), suspect: suspectRecordSchema }),
]);

/** A change whose record, if any, is not decoded. */
const encodedChangeSchema = z.object({
  key: z.string(),
  /** Epoch of the store that the revision belongs to; absent means 0. */
  epoch: z.number().int().nonnegative().optional(),
  /** Revision of the store at which the change was made. */
  revision: z.number().int(),
  record: z.unknown().optional(),
  /** Whether the key has a value that cannot be decoded; it is treated as absent. */
  isUnreadable: z.boolean().optional(),
  /** Whether it comes from a listing after a restore, and so may be older than what was known. */
  isListed: z.boolean().optional(),
});

/**
 * Latest change of a key; a change without a record is a deletion. A record that cannot be decoded,
 * such as one that a host of another release accepts, must not affect the other changes.
 */
export const fleetChangeSchema = encodedChangeSchema.transform(({ record, ...change }) => {
  if (record === undefined) {
    return change;
  }
  const decoded = fleetRecordSchema.safeParse(record);
  return decoded.success ? { ...change, record: decoded.data } : { ...change, isUnreadable: true };
});

export type EntryHostRecord = z.infer<typeof entryHostRecordSchema>;
export type FleetRecord = z.infer<typeof fleetRecordSchema>;
export type FleetChange = Omit<z.infer<typeof encodedChangeSchema>, 'record'> & {
  readonly record?: FleetRecord | undefined;
};
