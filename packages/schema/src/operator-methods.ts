import { z } from 'zod';
import {
  changeIdSchema,
  changeRecordSchema,
  drainSchema,
  generationSchema,
} from './configuration-document.js';
import { declarationFieldsSchema, declarationSchema } from './declaration.js';
import { ipAddressSchema, nameSchema } from './fields.js';

const accountParameter = { account: nameSchema };
const changeParameters = {
  ...accountParameter,
  changeId: changeIdSchema,
  basedOn: generationSchema.describe('The generation the change was made from; 0 for the first.'),
};

const changeResultSchema = z.object({
  generation: generationSchema,
  alreadyApplied: z.boolean().describe('Whether this change id had been applied before.'),
});
export type ChangeResult = z.infer<typeof changeResultSchema>;

const entryHostSchema = z.object({
  id: z.string(),
  address: z.string(),
  failureDomain: z.string(),
});

export const lookupResultSchema = z.object({
  service: z.string(),
  place: z.string().nullable().describe('The place of the client block that was found.'),
  entryHosts: z.array(entryHostSchema),
  lifetimeSeconds: z.number(),
});
export type LookupResult = z.infer<typeof lookupResultSchema>;

const hostStatusSchema = z.object({
  id: z.string(),
  failureDomain: z.string(),
  state: z.enum(['inForce', 'lagging', 'unknown']),
  generation: generationSchema.nullable(),
});

const metricSchema = z.object({
  account: z.string(),
  service: z.string(),
  class: z.string(),
  count: z.number(),
  outcomes: z.record(z.string(), z.number()),
  p50Milliseconds: z.number(),
  p99Milliseconds: z.number(),
});
export type ServiceMetric = z.infer<typeof metricSchema>;

interface MethodDefinition {
  readonly summary: string;
  readonly params: z.ZodType;
  readonly result: z.ZodType;
}

/** Every call an operator can make. The OpenRPC document is generated from this table. */
export const operatorMethods = {
  'configuration.apply': {
    summary: 'Replaces the whole declaration of an account. Answers once the change is durable.',
    params: z.strictObject({ ...changeParameters, declaration: declarationSchema }),
    result: changeResultSchema,
  },
  'configuration.get': {
    summary: 'Gives the declaration in force at the daemon that answers.',
    params: z.strictObject(accountParameter),
    result: z.object({
      generation: generationSchema,
      declaration: declarationFieldsSchema.nullable(),
      drains: z.array(drainSchema),
    }),
  },
  'configuration.history': {
    summary: 'Lists the latest changes, newest last.',
    params: z.strictObject(accountParameter),
    result: z.object({ changes: z.array(changeRecordSchema) }),
  },
  'configuration.rollback': {
    summary: 'Puts an earlier declaration in force again, as a new generation.',
    params: z.strictObject({ ...changeParameters, toGeneration: generationSchema }),
    result: changeResultSchema,
  },
  'drain.start': {
    summary: 'Takes a target, host or failure domain out of use for new work.',
    params: z.strictObject({ ...changeParameters, drain: drainSchema }),
    result: changeResultSchema,
  },
  'drain.end': {
    summary: 'Puts a target, host or failure domain back into use.',
    params: z.strictObject({ ...changeParameters, drain: drainSchema }),
    result: changeResultSchema,
  },
  status: {
    summary: 'Tells at which daemons the latest generation is in force.',
    params: z.strictObject(accountParameter),
    result: z.object({
      generation: generationSchema,
      hosts: z.array(hostStatusSchema),
      storeReachable: z.boolean(),
    }),
  },
  lookup: {
    summary: 'Answers as the look-up would for a caller at the given address.',
    params: z.strictObject({ ...accountParameter, service: nameSchema, address: ipAddressSchema }),
    result: lookupResultSchema,
  },
  metrics: {
    summary: 'Gives counts and latencies by service at the daemon that answers.',
    params: z.strictObject(accountParameter),
    result: z.object({ services: z.array(metricSchema) }),
  },
} as const satisfies Record<string, MethodDefinition>;

export type OperatorMethod = keyof typeof operatorMethods;
export type OperatorParams<Method extends OperatorMethod> = z.output<
  (typeof operatorMethods)[Method]['params']
>;
export type OperatorResult<Method extends OperatorMethod> = z.output<
  (typeof operatorMethods)[Method]['result']
>;
