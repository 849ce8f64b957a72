import { z } from 'zod';
import { checkDeclaration } from './declaration-checks.js';
import {
  ipAddressSchema,
  millisecondsField,
  nameSchema,
  numberField,
  portSchema,
  wholeNumberField,
} from './fields.js';

const DEFAULT_DEADLINE_MILLISECONDS = 10_000;
const DEFAULT_MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;
const MAXIMUM_SLOTS = 10_000;
const MAXIMUM_RATE = 1e9;
const MAXIMUM_PRIORITY = 9;

/**
 * What a service allows when an outcome is in doubt. `free`: may run again. `never`: runs at most
 * once. `wholeUpload`: a body that counts only when the target has confirmed the whole of it; not
 * run again either.
 */
export const repeatClassSchema = z.enum(['free', 'never', 'wholeUpload']);
export type RepeatClass = z.infer<typeof repeatClassSchema>;

/** A process that answers requests, with the number it can work on at a time. */
export const targetSchema = z.strictObject({
  address: ipAddressSchema,
  port: portSchema,
  slots: wholeNumberField(1, MAXIMUM_SLOTS),
  failureDomain: nameSchema,
});
export type TargetDeclaration = z.infer<typeof targetSchema>;

export const serviceSchema = z.strictObject({
  hostNames: z.array(z.hostname()).default([]),
  repeat: repeatClassSchema,
  /** 0 is the most important. */
  priority: wholeNumberField(0, MAXIMUM_PRIORITY).default(5),
  deadlineMilliseconds: millisecondsField(1).default(DEFAULT_DEADLINE_MILLISECONDS),
  maximumBodyBytes: wholeNumberField(0, Number.MAX_SAFE_INTEGER).default(
    DEFAULT_MAXIMUM_BODY_BYTES,
  ),
  probePath: z.string().startsWith('/').optional(),
  targets: z.record(nameSchema, targetSchema).default({}),
});
export type ServiceDeclaration = z.infer<typeof serviceSchema>;

/** A cap on what passes from one place to another; places are regions or failure domains. */
export const linkLimitSchema = z
  .strictObject({
    from: nameSchema,
    to: nameSchema,
    requestsPerSecond: numberField(0, MAXIMUM_RATE).optional(),
    bytesPerSecond: numberField(0, Number.MAX_SAFE_INTEGER).optional(),
  })
  .refine(
    (link) => link.requestsPerSecond !== undefined || link.bytesPerSecond !== undefined,
    'expected requestsPerSecond, bytesPerSecond or both',
  );
export type LinkLimit = z.infer<typeof linkLimitSchema>;

/** A cap on how fast a service's traffic moves between regions, in percent of it a second. */
export const shiftLimitSchema = z.strictObject({
  service: nameSchema,
  percentPerSecond: numberField(0, 100),
});
export type ShiftLimit = z.infer<typeof shiftLimitSchema>;

/** Slots of a region that stay free, in percent, for what may suddenly arrive there. */
export const headroomLimitSchema = z.strictObject({
  region: nameSchema,
  percent: numberField(0, 100),
});

export const failureDomainSchema = z.strictObject({ region: nameSchema });

export const delaySchema = z.strictObject({
  from: nameSchema,
  to: nameSchema,
  milliseconds: numberField(0, 60_000),
});

/** Client addresses that are near one place. A block inside another must name it in `within`. */
export const clientBlockSchema = z.strictObject({
  cidr: z.string(),
  place: nameSchema,
  within: nameSchema.optional(),
});

/** The fields of a declaration, without the checks that span several of them. */
export const declarationFieldsSchema = z.strictObject({
  account: nameSchema,
  /** Weight of the account against others when entry hosts are short of room. */
  share: numberField(0.001, 1000).default(1),
  failureDomains: z.record(nameSchema, failureDomainSchema).default({}),
  delays: z.record(nameSchema, delaySchema).default({}),
  services: z.record(nameSchema, serviceSchema).default({}),
  links: z.record(nameSchema, linkLimitSchema).default({}),
  shifts: z.record(nameSchema, shiftLimitSchema).default({}),
  headroom: z.record(nameSchema, headroomLimitSchema).default({}),
  clientBlocks: z.record(nameSchema, clientBlockSchema).default({}),
});

/** All that one client account declares. */
export const declarationSchema = declarationFieldsSchema.superRefine(checkDeclaration);
export type Declaration = z.infer<typeof declarationSchema>;
/** A declaration as written, before defaults are filled in. */
export type DeclarationInput = z.input<typeof declarationSchema>;
