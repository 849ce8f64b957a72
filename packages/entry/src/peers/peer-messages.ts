import { networkAddressSchema } from '@ferrylock/routing';
import { z } from 'zod';
import { fleetChangeSchema } from '../fleet/fleet-record.js';
import { accountUsageSchema } from './account-rows.js';
import { hostStatusesSchema } from './host-status.js';
import { inFlightCountsSchema } from './in-flight.js';
import { limitsSchema } from './limit-rows.js';
import { decodeRows } from './rows.js';
import { storeConfirmationSchema } from './store-confirmations.js';
import { suspectsSchema } from './suspect-rows.js';
import { incarnationKeysSchema, regionSummariesSchema } from './fleet-summary.js';

/** Name of the notification that carries a {@link HostReport} in a datagram. */
export const REPORT_METHOD = 'entry.report';
/** Name of the notification that carries a {@link DomainDigest} in a datagram. */
export const DOMAIN_DIGEST_METHOD = 'entry.digest';
/** Name of the notification that carries a {@link FleetDigest} in a datagram. */
export const FLEET_DIGEST_METHOD = 'entry.fleet';
/** Name of the call that fetches store changes from a peer. */
export const DELTA_METHOD = 'entry.delta';

/** Store epoch of a revision; incremented when the store is restored from a snapshot. */
const epochSchema = z.number().int().nonnegative();

export const deltaParamsSchema = z.object({
  /** Revision of the newest change that the caller has; 0 requests a snapshot. */
  afterRevision: z.number().int(),
  /** Epoch of `afterRevision`; absent means 0. */
  afterEpoch: epochSchema.optional(),
});

/** Changes from the caller's revision to the peer's, or a snapshot where these are not known. */
export const deltaResultSchema = z.object({
  isWhole: z.boolean(),
  afterEpoch: epochSchema.optional(),
  afterRevision: z.number().int(),
  epoch: epochSchema.optional(),
  revision: z.number().int(),
  /** Revision of the peer's newest change, where that may not be in `changes`. */
  lastChange: z.number().int().optional(),
  answeredAgeMilliseconds: z.number().optional(),
  changes: z.array(fleetChangeSchema),
  /** Changes that the peer retains beyond a restored store; absent if none. */
  kept: z.array(fleetChangeSchema).optional(),
});

/** Fields of every message between hosts, on the store and on targets. */
const commonFields = {
  /** Address for delta calls to the sender, whose record may not have arrived yet. */
  controlAddress: networkAddressSchema,
  /** Revision of the newest store change that the sender has. */
  lastChange: z.number().int(),
  /** Epoch of `lastChange`; absent means 0. */
  epoch: epochSchema.optional(),
  /** Digest of what the sender retains beyond a restored store; absent if nothing. */
  kept: z.string().optional(),
  /** Newest store confirmation that the sender has received; absent if none. */
  storeAnswer: storeConfirmationSchema.optional(),
  /** Absent if the loads of the sender's message before still hold. */
  inFlight: inFlightCountsSchema.optional(),
  /** Rows that did not fit into the message, by section; absent if it is whole. */
  omitted: z.record(z.string(), z.number().int()).optional(),
  /** Length of the request history behind `accounts`, in milliseconds. */
  remembered: z.number().nonnegative().default(0),
  /** Usage of client accounts' limits; absent if none. */
  accounts: accountUsageSchema.optional(),
  /** Limits that targets advertise, and their usage; absent if none. */
  limits: limitsSchema.optional(),
  /** Requests that were in flight at targets when these crashed; absent if none. */
  suspects: suspectsSchema.optional(),
};

/** Report sequence numbers by host name, as rows. */
const reportSequencesSchema = z
  .string()
  .transform(
    (text) =>
      new Map(
        decodeRows(text).map(([name = '', sequence = '']) => [name, Number.parseInt(sequence, 10)]),
      ),
  );

/** Report of an entry host to the relays of its failure domain, sent several times a second. */
export const hostReportSchema = z.object({
  /** Status of the sender alone. */
  statuses: hostStatusesSchema,
  ...commonFields,
});

/** Fields of a relay's digests. */
const digestFields = {
  /** Name of the relay. */
  from: z.string(),
  /** The most recent changes, so that most receivers need not fetch them. */
  news: deltaResultSchema.omit({ isWhole: true, answeredAgeMilliseconds: true }).optional(),
  ...commonFields,
};

/** Digest of a failure domain, sent by its relays to the relays of other domains. */
export const domainDigestSchema = z.object({
  failureDomain: z.string(),
  /** Statuses of the domain's live hosts. */
  statuses: hostStatusesSchema,
  ...digestFields,
});

/** Digest of the whole fleet, sent by a relay to the hosts of its own failure domain. */
export const fleetDigestSchema = z.object({
  /** Registered hosts that do not serve. */
  absent: incarnationKeysSchema,
  /** Live hosts that reach no target; absent if there is none. */
  reachingNone: incarnationKeysSchema.optional(),
  regions: regionSummariesSchema,
  /** Sequence numbers of the reports that the totals include, by host name. */
  counted: reportSequencesSchema,
  ...digestFields,
});

/** Any datagram between hosts. */
export const peerMessageSchema = z.discriminatedUnion('method', [
  z.object({ method: z.literal(REPORT_METHOD), params: hostReportSchema }),
  z.object({ method: z.literal(DOMAIN_DIGEST_METHOD), params: domainDigestSchema }),
  z.object({ method: z.literal(FLEET_DIGEST_METHOD), params: fleetDigestSchema }),
]);

export type DeltaParams = z.infer<typeof deltaParamsSchema>;
export type DeltaResult = z.infer<typeof deltaResultSchema>;
export type HostReport = z.infer<typeof hostReportSchema>;
export type DomainDigest = z.infer<typeof domainDigestSchema>;
export type FleetDigest = z.infer<typeof fleetDigestSchema>;
export type CommonFields = Pick<HostReport, keyof typeof commonFields>;
