import { z } from 'zod';
import { declarationSchema } from './declaration.js';
import { nameSchema } from './fields.js';

const MAXIMUM_CHANGE_ID_LENGTH = 128;

/** An identifier chosen by whoever makes a change, so that a repeat of it is recognised. */
export const changeIdSchema = z.string().min(1).max(MAXIMUM_CHANGE_ID_LENGTH);

/** A configuration's place in its account's order of changes; 0 means none yet. */
export const generationSchema = z.int().min(0);

/** What is taken out of use on purpose, and gets no new work. */
export const drainSchema = z.discriminatedUnion('scope', [
  z.strictObject({ scope: z.literal('target'), service: nameSchema, name: nameSchema }),
  z.strictObject({ scope: z.literal('host'), name: z.string().min(1) }),
  z.strictObject({ scope: z.literal('failureDomain'), name: nameSchema }),
]);
export type Drain = z.infer<typeof drainSchema>;

/** Who changed what, from which generation to which. */
export const changeRecordSchema = z.object({
  generation: generationSchema,
  changeId: changeIdSchema,
  basedOn: generationSchema,
  author: z.string(),
  at: z.string(),
  kind: z.enum(['apply', 'rollback', 'drain', 'undrain']),
});
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** One account's configuration as stored and as passed between daemons. */
export const configurationDocumentSchema = z.object({
  account: nameSchema,
  generation: generationSchema,
  declaration: declarationSchema,
  drains: z.array(drainSchema),
  /** The latest changes, newest last. */
  changes: z.array(changeRecordSchema),
});
export type ConfigurationDocument = z.infer<typeof configurationDocumentSchema>;
