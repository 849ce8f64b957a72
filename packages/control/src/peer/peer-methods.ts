import { changeIdSchema, configurationDocumentSchema, generationSchema } from '@ferrylock/schema';
import { z } from 'zod';
import { domainSummarySchema } from '../membership/domain-summary.js';
import { memberSchema } from '../membership/member.js';

/** Fields that both sides of a heartbeat send. */
const heartbeatFieldsSchema = z.object({
  from: memberSchema,
  /** Updates about members of the sender's failure domain. */
  updates: z.array(memberSchema),
  domainsDigest: z.string(),
  /** Contacts in other domains that did not respond to the sender, with the age of the failure. */
  unreachable: z.array(z.object({ key: z.string(), ageMilliseconds: z.number().min(0) })),
  configurationDigest: z.string(),
  /** Age of the last confirmation, direct or through peers, that the configuration is current. */
  configurationAgeMilliseconds: z.number().min(0).nullable(),
  /** Positions whose holders the sender no longer confirms. */
  reclaimNotices: z.array(z.int().min(0)),
  /** Positions that the sender holds, and with which it may confirm other holders. */
  positions: z.array(z.int().min(0)),
  /** Requests in flight at targets that crashed, as rows of text; empty if there are none. */
  suspects: z.string().default(''),
});
export type HeartbeatFields = z.infer<typeof heartbeatFieldsSchema>;

const generationsSchema = z.record(z.string(), generationSchema);

/** Change of a document as a merge patch (RFC 7396) to an earlier generation. */
export const configurationDeltaSchema = z.object({
  account: z.string(),
  fromGeneration: generationSchema,
  generation: generationSchema,
  changeId: changeIdSchema,
  patch: z.unknown(),
  /** Digest of the patched document. */
  digest: z.string(),
});
export type ConfigurationDelta = z.infer<typeof configurationDeltaSchema>;

const loanSchema = z.object({
  loanId: z.string(),
  borrower: z.string(),
  durationMilliseconds: z.number().min(0),
});

/** Loan of one slot of a target. */
const slotLoanSchema = z.object({ loanId: z.string(), target: z.string() });

/** Parameters and results of all RPC methods between daemons. */
export const peerMethods = {
  'membership.heartbeat': {
    params: heartbeatFieldsSchema.extend({
      /** Set by a daemon that joins a peer: the response then lists every member. */
      joining: z.boolean(),
    }),
    result: heartbeatFieldsSchema,
  },
  'membership.probe': {
    params: z.object({ address: z.string(), incarnation: z.string() }),
    result: z.object({ reached: z.boolean() }),
  },
  'membership.domains': {
    params: z.object({ summaries: z.array(domainSummarySchema) }),
    result: z.object({ summaries: z.array(domainSummarySchema) }),
  },
  'configuration.push': {
    params: z.object({ deltas: z.array(configurationDeltaSchema) }),
    result: z.object({ generations: generationsSchema }),
  },
  'configuration.pull': {
    params: z.object({ generations: generationsSchema }),
    result: z.object({ documents: z.array(configurationDocumentSchema) }),
  },
  'configuration.generation': {
    params: z.object({ account: z.string() }),
    result: z.object({ generation: generationSchema }),
  },
  /** Borrows units of a limit; a known loan id extends that loan. */
  'allotments.borrow': {
    params: loanSchema.extend({
      limit: z.string(),
      units: z.int().min(0),
      sequence: z.int().min(0),
    }),
    result: z.object({ units: z.int().min(0) }),
  },
  /** Reads the current traffic distribution of a service, as initial state for a new daemon. */
  'placement.shares': {
    params: z.object({ account: z.string(), service: z.string() }),
    result: z.object({
      shares: z.record(z.string(), z.number().min(0).max(1)),
      demandPerSecond: z.number().min(0),
    }),
  },
  'allotments.return': {
    params: z.object({ loanId: z.string(), borrower: z.string() }),
    result: z.object({}),
  },
  /** Borrows free slots of any targets of a service. */
  'slots.borrow': {
    params: loanSchema.extend({
      account: z.string(),
      service: z.string(),
      slots: z.int().min(1),
      /** Maximum time to hold the request while no slot is free. */
      waitMilliseconds: z.number().min(0),
    }),
    result: z.object({ loans: z.array(slotLoanSchema) }),
  },
  'slots.return': {
    params: z.object({
      loanId: z.string(),
      borrower: z.string(),
      account: z.string(),
      service: z.string(),
    }),
    result: z.object({}),
  },
  /** Extends the loan of a slot. */
  'slots.prolong': {
    params: loanSchema.extend({ account: z.string(), service: z.string(), limit: z.string() }),
    result: z.object({ prolonged: z.boolean() }),
  },
  /** Asks the holder of a position to stop confirming another position's holder. */
  'allotments.notice': {
    params: z.object({ position: z.int().min(0), holder: z.string() }),
    result: z.object({ positions: z.array(z.int().min(0)) }),
  },
} as const satisfies Record<string, { params: z.ZodType; result: z.ZodType }>;

export type PeerMethod = keyof typeof peerMethods;
export type PeerParams<Method extends PeerMethod> = z.output<
  (typeof peerMethods)[Method]['params']
>;
export type PeerResult<Method extends PeerMethod> = z.output<
  (typeof peerMethods)[Method]['result']
>;
