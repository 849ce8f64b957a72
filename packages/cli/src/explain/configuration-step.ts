import { z } from 'zod';
import type { LogLine } from './log-line.js';

/** A refusal by the configuration, with what the host knew of it. */
const refusalSchema = z.object({
  message: z.literal('refused'),
  version: z.number(),
  milliseconds: z.number(),
  beliefAgeMilliseconds: z.number(),
  knowledge: z.object({
    versionAgeMilliseconds: z.number(),
    heldVersion: z.number().optional(),
    confirmedBy: z.string(),
    missingRevision: z.number().optional(),
    missingMilliseconds: z.number().optional(),
    pendingCallMilliseconds: z.number().optional(),
    eventLoopDelayMilliseconds: z.number().optional(),
  }),
});

type Refusal = z.infer<typeof refusalSchema>;

/**
 * Tells how far the newest configuration had come at the host that refused a request by an older
 * one. Undefined if the line is no such refusal.
 */
export function configurationStep(line: LogLine): string | undefined {
  const parsed = refusalSchema.safeParse(line);
  if (!parsed.success) {
    return undefined;
  }
  const delay = parsed.data.knowledge.eventLoopDelayMilliseconds ?? 0;
  return `${stepOf(parsed.data)}; event loop ${delay} ms behind`;
}

function stepOf({ version, milliseconds, beliefAgeMilliseconds, knowledge }: Refusal): string {
  const { heldVersion = version, missingRevision, missingMilliseconds = 0 } = knowledge;
  if (heldVersion > version) {
    return `fetched version ${heldVersion}, not applied it`;
  }
  if (knowledge.versionAgeMilliseconds < milliseconds) {
    return `applied version ${version} after the request had come`;
  }
  if (missingRevision !== undefined) {
    return `heard of revision ${missingRevision} for ${missingMilliseconds} ms, not fetched it${pendingOf(knowledge)}`;
  }
  return `heard of nothing newer, ${beliefAgeMilliseconds} ms after ${knowledge.confirmedBy} confirmed version ${version}`;
}

function pendingOf({ pendingCallMilliseconds }: Refusal['knowledge']): string {
  return pendingCallMilliseconds === undefined
    ? ''
    : `, a peer has not answered for ${pendingCallMilliseconds} ms`;
}
