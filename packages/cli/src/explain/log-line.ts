import { z } from 'zod';

/** What every line of an entry host's log has; the other fields depend on the event. */
const logLineSchema = z.looseObject({
  /** Name of the event. */
  message: z.string(),
  host: z.string(),
  /** By the host's own wall clock, which may differ from others'. */
  timestamp: z.iso.datetime(),
});

export type LogLine = z.infer<typeof logLineSchema>;

/**
 * Reads one line of a log. Text before the first brace is passed over, as collectors of logs put
 * the time or the source there; a line that is none of an entry host's gives nothing.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  try {
    return logLineSchema.safeParse(JSON.parse(text.slice(start))).data;
  } catch {
    // Collectors mix in lines of other programs; those are nobody's story.
    return undefined;
  }
}
