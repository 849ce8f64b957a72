import { z } from 'zod';

/** Events about hosts that are short of processor time. */
export const processorEvents = [
  /** The host is short of processor time: connections wait, or requests are refused for it. */
  z.object({
    event: z.literal('behind'),
    /** Number of connections that were accepted since the start. */
    accepted: z.number(),
    /** Bound on the longest wait since the last such event. */
    acceptMilliseconds: z.number(),
    inFlight: z.number(),
    /** Requests that were read and on which work has not started. */
    waiting: z.number(),
    /** Numbers since the start of those that were refused, and of those whose callers had left. */
    refused: z.number(),
    callersGone: z.number(),
  }),
  /** The share of a region's callers that this host's directory leads to other regions has changed. */
  z.object({
    event: z.literal('region-overflow'),
    region: z.string(),
    share: z.number(),
    /** Utilization of the hosts of the region, and of the least busy other region. */
    own: z.number().optional(),
    others: z.number().optional(),
  }),
] as const;
