import { z } from 'zod';
import { REFUSAL_REASONS } from '../request/refusal.js';

/** Header of a request that one entry host hands over to another. */
export const HANDOVER_HEADER = 'ferrylock-handover';
/** Header of the response to it; hosts never take it from a target. */
export const HANDOVER_RESULT_HEADER = 'ferrylock-handover-result';
/** Header of the response that names the request it belongs to. */
export const HANDOVER_REQUEST_HEADER = 'ferrylock-handover-request';
/** Result of a request that a target answered. */
export const ANSWERED = 'answered';

/**
 * What the sender of a request tells with it. The incarnations are known from the fleet's records
 * alone, which callers cannot read.
 */
const handoverSchema = z.object({
  from: z.string().min(1),
  fromIncarnation: z.string().min(1),
  toIncarnation: z.string().min(1),
  /** Time left for the request. */
  milliseconds: z.coerce.number().int().nonnegative(),
  /** Sends that may have reached targets already. */
  attempts: z.coerce.number().int().nonnegative(),
  /** Id of the request, which the response names; absent if the sender is of an older release. */
  requestId: z.string().min(1).optional(),
  /** Version of the configuration by which the sender admitted it; absent likewise. */
  version: z.coerce.number().int().nonnegative().optional(),
  /** Service that the sender chose for it; absent likewise. */
  service: z.string().min(1).optional(),
});

export type Handover = z.infer<typeof handoverSchema>;

const refusalSchema = z.object({
  // A reason of a newer host.
  reason: z.enum(REFUSAL_REASONS).catch('overload'),
  ran: z.enum(['no', 'unknown']),
  retryAfterSeconds: z.coerce.number().nonnegative().optional(),
});

export type HandoverRefusal = z.infer<typeof refusalSchema>;

/** Refusal by a host that takes no requests of the host that hands one over. */
export const NOT_TAKEN: HandoverRefusal = { reason: 'targets-unreachable', ran: 'no' };

export function encodeHandover(handover: Handover): string {
  return encode(handover);
}

/** Returns undefined if the header is missing or malformed. */
export function parseHandover(header: string | string[] | undefined): Handover | undefined {
  return parse(handoverSchema, header);
}

export function encodeRefusal({ reason, ran, retryAfterSeconds }: HandoverRefusal): string {
  return encode({ reason, ran, ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }) });
}

/** Returns undefined if the header is missing or malformed. */
export function parseRefusal(header: string | string[] | undefined): HandoverRefusal | undefined {
  return parse(refusalSchema, header);
}

function encode(fields: Readonly<Record<string, string | number | undefined>>): string {
  const texts = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]): [string, string] => [name, String(value)]);
  return new URLSearchParams(texts).toString();
}

function parse<T>(schema: z.ZodType<T>, header: string | string[] | undefined): T | undefined {
  if (typeof header !== 'string') {
    return undefined;
  }
  const parsed = schema.safeParse(Object.fromEntries(new URLSearchParams(header)));
  return parsed.success ? parsed.data : undefined;
}
