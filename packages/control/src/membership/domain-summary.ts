import { sha256 } from '@ferrylock/utils';
import { z } from 'zod';
import { memberSchema } from './member.js';

/** Hosts of a failure domain that its summary names to other domains. */
export const CONTACTS_PER_DOMAIN = 6;

/** What other failure domains know of one: how many hosts serve, and some of them to talk to. */
export const domainSummarySchema = z.object({
  failureDomain: z.string(),
  region: z.string(),
  version: z.int().min(0),
  servingCount: z.int().min(0),
  contacts: z.array(memberSchema).max(CONTACTS_PER_DOMAIN),
});
export type DomainSummary = z.infer<typeof domainSummarySchema>;

/** Everything in a summary but its version, as text that is equal for equal contents. */
export function summaryContent(summary: DomainSummary): string {
  const contacts = summary.contacts
    .map((contact) => `${contact.id}#${contact.incarnation}:${contact.state}`)
    .sort();
  return `${summary.servingCount} ${contacts.join(' ')}`;
}

/** Whether the first summary replaces the second. Equal versions are settled by their contents. */
export function summaryReplaces(update: DomainSummary, known: DomainSummary): boolean {
  if (update.version !== known.version) {
    return update.version > known.version;
  }
  return summaryContent(update) > summaryContent(known);
}

/** Equal exactly when two daemons know the same summaries. */
export function digestOfSummaries(summaries: Iterable<DomainSummary>): string {
  const lines = [...summaries].map(
    (summary) => `${summary.failureDomain} ${summary.version} ${summaryContent(summary)}`,
  );
  return sha256(lines.sort().join('\n')).slice(0, 16);
}
