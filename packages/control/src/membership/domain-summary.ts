import { sha256 } from '@ferrylock/utils';
import { z } from 'zod';
import { memberSchema } from './member.js';

/** Maximum number of hosts that a summary lists as contacts for other failure domains. */
export const CONTACTS_PER_DOMAIN = 6;

/** State of a failure domain as shared with other domains: serving count and some contacts. */
export const domainSummarySchema = z.object({
  failureDomain: z.string(),
  region: z.string(),
  version: z.int().min(0),
  servingCount: z.int().min(0),
  contacts: z.array(memberSchema).max(CONTACTS_PER_DOMAIN),
});
export type DomainSummary = z.infer<typeof domainSummarySchema>;

/** Canonical text of a summary without its version. */
export function summaryContent(summary: DomainSummary): string {
  const contacts = summary.contacts
    .map((contact) => `${contact.id}#${contact.incarnation}:${contact.state}`)
    .sort();
  return `${summary.servingCount} ${contacts.join(' ')}`;
}

/** Compares summaries by version, then by content as a deterministic tie-break. */
export function summaryReplaces(update: DomainSummary, known: DomainSummary): boolean {
  if (update.version !== known.version) {
    return update.version > known.version;
  }
  return summaryContent(update) > summaryContent(known);
}

/** Digest of a set of summaries, independent of their order. */
export function digestOfSummaries(summaries: Iterable<DomainSummary>): string {
  const lines = [...summaries].map(
    (summary) => `${summary.failureDomain} ${summary.version} ${summaryContent(summary)}`,
  );
  return sha256(lines.sort().join('\n')).slice(0, 16);
}
