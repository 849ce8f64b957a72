import type { UsageByName } from '@ferrylock/routing';
import { z } from 'zod';
import { decodeRows, encodeRows } from './rows.js';

/**
 * Use of accounts' limits as rows of text: account, requests in the window, requests a second. A row that
 * makes no sense is passed over: the other news of its message counts all the same.
 */
export const accountUsageSchema = z.string().transform((text): UsageByName => {
  const used: Record<string, number> = {};
  const asked: Record<string, number> = {};
  for (const [account = '', usedText = '', askedText = ''] of decodeRows(text)) {
    const [ofWindow, ofSecond] = [Number.parseInt(usedText, 10), Number.parseInt(askedText, 10)];
    if (ofWindow >= 0 && ofSecond >= 0) {
      used[account] = ofWindow;
      asked[account] = ofSecond;
    }
  }
  return { used, demand: asked };
});

/** The form that {@link accountUsageSchema} reads; empty at rest. */
export function encodeAccountUsage({ used, demand: asked }: UsageByName): string {
  const accounts = new Set([...Object.keys(used), ...Object.keys(asked)]);
  return encodeRows(
    [...accounts].map((account) => [
      account,
      Math.ceil(used[account] ?? 0),
      Math.ceil(asked[account] ?? 0),
    ]),
  );
}
