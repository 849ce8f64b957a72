import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { LogLine } from './log-line.js';
import { parseLogLine } from './log-line.js';

/** Reads log files line by line; a file that cannot be read is an error that names it. */
export async function readLogs(files: readonly string[]): Promise<LogLine[]> {
  const lines: LogLine[] = [];
  for (const file of files) {
    for await (const text of createInterface({ input: createReadStream(file) })) {
      const line = parseLogLine(text);
      if (line !== undefined) {
        lines.push(line);
      }
    }
  }
  return lines;
}
