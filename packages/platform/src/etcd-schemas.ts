import { z } from 'zod';

/**
 * The parts of etcd v3's JSON mapping that are used. 64-bit numbers travel as text, keys and values
 * as base64; fields that hold their zero value are left out.
 */
const int64Schema = z.union([z.string(), z.number()]).transform(Number).default(0);

const keyValueSchema = z.object({
  key: z.string().default(''),
  value: z.string().default(''),
  mod_revision: int64Schema,
});
export type EtcdKeyValue = z.infer<typeof keyValueSchema>;

const headerSchema = z.object({
  revision: int64Schema,
  cluster_id: z.union([z.string(), z.number()]).transform(String).default(''),
});

export const rangeResponseSchema = z.object({
  header: headerSchema,
  kvs: z.array(keyValueSchema).default([]),
});

export const transactionResponseSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z
    .array(
      z.object({
        response_range: z.object({ kvs: z.array(keyValueSchema).default([]) }).optional(),
      }),
    )
    .default([]),
});

export const watchMessageSchema = z.object({
  result: z
    .object({
      header: headerSchema.optional(),
      created: z.boolean().default(false),
      canceled: z.boolean().default(false),
      compact_revision: int64Schema,
      events: z
        .array(z.object({ type: z.string().default('PUT'), kv: keyValueSchema }))
        .default([]),
    })
    .optional(),
  error: z.unknown().optional(),
});

export function encodeText(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

export function decodeText(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}

/** The end of the range that holds every key with the prefix: its last byte raised by one. */
export function prefixRangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8');
  const last = bytes.length - 1;
  bytes[last] = (bytes[last] ?? 0) + 1;
  return bytes.toString('base64');
}
