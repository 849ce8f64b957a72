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
/** Name of the call that asks a peer for what it knows of the store. */
export const DELTA_METHOD = 'entry.delta';

/** Which life of the store a revision belongs to. */
const epochSchema = z.number().int().nonnegative();

export const deltaParamsSchema = z.object({
  /** Revision of the newest change that the caller knows; 0 asks for everything. */
  afterRevision: z.number().int(),
  /** The store's life that it is of; absent, as 0, before the store tells of any return. */
  afterEpoch: epochSchema.optional(),
});

/** What leads from the caller's revision to the peer's, or everything where that is unknown. */
export const deltaResultSchema = z.object({
  isWhole: z.boolean(),
  afterEpoch: epochSchema.optional(),
  afterRevision: z.number().int(),
  epoch: epochSchema.optional(),
  revision: z.number().int(),
  /** Revision of the newest change that the peer knows, where that may be none of these. */
  lastChange: z.number().int().optional(),
  answeredAgeMilliseconds: z.number().optional(),
  changes: z.array(fleetChangeSchema),
  /** What the peer knows beyond the store's present life; absent where that is nothing. */
  kept: z.array(fleetChangeSchema).optional(),
});

/** What every message between hosts tells of the store and of targets. */
const commonFields = {
  /** Where the sender can be asked for what it knows: its record may not have come here yet. */
  controlAddress: z.string(),
  /** Revision of the newest change of the store that the sender knows. */
  lastChange: z.number().int(),
  /** The store's life that it is of; absent, as 0, before the store tells of any return. */
  epoch: epochSchema.optional(),
  /** Names what the sender knows beyond a store that came back from a copy; absent where that is nothing. */
  kept: z.string().optional(),
  /** The newest answer of the store that the sender knows of; absent where there was none. */
  storeAnswer: storeConfirmationSchema.optional(),
  inFlight: inFlightCountsSchema,
  /** How far back the sender knows what ran, in milliseconds. */
  remembered: z.number().nonnegative().default(0),
  /** Use of client accounts' limits; absent where there was none. */
  accounts: accountUsageSchema.optional(),
  /** Limits that targets name, and use of them; absent where there are none. */
  limits: limitsSchema.optional(),
  /** Requests that were at targets when these ended; absent where there is nothing to tell. */
  suspects: suspectsSchema.optional(),
};

/** Numbers of reports by the host's name, as rows of text. */
const reportSequencesSchema = z
  .string()
  .transform(
    (text) =>
      new Map(
        decodeRows(text).map(([name = '', sequence = '']) => [name, Number.parseInt(sequence, 10)]),
      ),
  );

/** What an entry host tells the relays of its failure domain several times a second. */
export const hostReportSchema = z.object({
  /** The sender's own, one alone. */
  statuses: hostStatusesSchema,
  ...commonFields,
});

/** What a relay tells hosts that rely on it, besides what it knows. */
const digestFields = {
  /** Name of the relay. */
  from: z.string(),
  /** The last few changes, so that most receivers need not ask for them. */
  news: deltaResultSchema.omit({ isWhole: true, answeredAgeMilliseconds: true }).optional(),
  ...commonFields,
};

/** What a relay tells other failure domains' relays of its own domain. */
export const domainDigestSchema = z.object({
  failureDomain: z.string(),
  /** Hosts of the domain that are heard. */
  statuses: hostStatusesSchema,
  ...digestFields,
});

/** What a relay tells the hosts of its own failure domain of the whole fleet. */
export const fleetDigestSchema = z.object({
  /** Registered hosts that take no callers. */
  absent: incarnationKeysSchema,
  regions: regionSummariesSchema,
  /** Reports of the domain's hosts that are counted in, by the host's name. */
  counted: reportSequencesSchema,
  ...digestFields,
});

export type DeltaParams = z.infer<typeof deltaParamsSchema>;
export type DeltaResult = z.infer<typeof deltaResultSchema>;
export type HostReport = z.infer<typeof hostReportSchema>;
export type DomainDigest = z.infer<typeof domainDigestSchema>;
export type FleetDigest = z.infer<typeof fleetDigestSchema>;
/** What every message tells besides its own content. */
export type CommonFields = Pick<HostReport, keyof typeof commonFields>;
