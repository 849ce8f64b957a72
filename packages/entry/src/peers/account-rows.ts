import type { UsageByName } from '@ferrylock/routing';
import { z } from 'zod';
import { decodeRows, encodeRows } from './rows.js';

/**
 * Usage of account limits as rows: account, requests in the window, requests per second. Malformed
 * rows are skipped, so that the rest of the message still applies.
 */
export const accountUsageSchema = z.string().transform((text): UsageByName => {
  const used: Record<string, number> = {};
  const demand: Record<string, number> = {};
  for (const [account = '', usedText = '', demandText = ''] of decodeRows(text)) {
    const [inWindow, perSecond] = [Number.parseInt(usedText, 10), Number.parseInt(demandText, 10)];
    if (inWindow >= 0 && perSecond >= 0) {
      used[account] = inWindow;
      demand[account] = perSecond;
    }
  }
  return { used, demand };
});

/** The form that {@link accountUsageSchema} reads; empty without usage. */
export function encodeAccountUsage({ used, demand }: UsageByName): string {
  const accounts = new Set([...Object.keys(used), ...Object.keys(demand)]);
  return encodeRows(
    [...accounts].map((account) => [
      account,
      Math.ceil(used[account] ?? 0),
      Math.ceil(demand[account] ?? 0),
    ]),
  );
}
