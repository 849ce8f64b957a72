import type { Clock } from '@ferrylock/utils';
import type { DomainSummary } from './domain-summary.js';
import {
  CONTACTS_PER_DOMAIN,
  digestOfSummaries,
  summaryContent,
  summaryReplaces,
} from './domain-summary.js';
import type { Member } from './member.js';
import { isServing, memberKey } from './member.js';

/**
 * Time for which an unresponsive contact is avoided. Retries by the daemons of the domain renew the
 * mark before it expires, so that a dead contact stays marked.
 */
const UNREACHABLE_MILLISECONDS = 60_000;
/** Maximum number of unreachable contacts in one message, most recent first. */
const MAXIMUM_UNREACHABLE_REPORTED = 16;

/** One daemon's view of all failure domains, including its own. */
export class DomainTable {
  readonly #summaries = new Map<string, DomainSummary>();
  /** Time of the last failed call, by contact. */
  readonly #unreachableAt = new Map<string, number>();
  /** Time of the last successful exchange, by contact. */
  readonly #reachedAt = new Map<string, number>();
  #digest = digestOfSummaries([]);
  /** Change counter that lets callers cache views derived from the contacts. */
  changes = 0;

  constructor(
    readonly ownDomain: string,
    readonly clock: Clock,
  ) {}

  get digest(): string {
    return this.#digest;
  }

  summaries(): DomainSummary[] {
    return [...this.#summaries.values()];
  }

  /** Contacts in other domains that are not marked unreachable. */
  reachableContacts(): Member[] {
    return this.#contacts().filter((contact) => !this.#isUnreachable(memberKey(contact)));
  }

  /** Contacts in other domains that are marked unreachable. */
  unreachableContacts(): Member[] {
    return this.#contacts().filter((contact) => this.#isUnreachable(memberKey(contact)));
  }

  merge(update: DomainSummary): void {
    const known = this.#summaries.get(update.failureDomain);
    if (known === undefined || summaryReplaces(update, known)) {
      this.#set(update);
    }
  }

  /** Publishes a new summary version of the own domain if its serving members have changed. */
  refreshOwn(region: string, members: readonly Member[]): void {
    const serving = members.filter(isServing).sort((a, b) => (a.id < b.id ? -1 : 1));
    const known = this.#summaries.get(this.ownDomain);
    const summary: DomainSummary = {
      failureDomain: this.ownDomain,
      region,
      version: (known?.version ?? 0) + 1,
      servingCount: serving.length,
      contacts: serving.slice(0, CONTACTS_PER_DOMAIN).map((member) => ({
        ...member,
        state: 'alive',
      })),
    };
    if (known === undefined || summaryContent(known) !== summaryContent(summary)) {
      this.#set(summary);
    }
  }

  markUnreachable(key: string, ageMilliseconds = 0): void {
    const at = this.clock.now() - ageMilliseconds;
    if (at <= (this.#reachedAt.get(key) ?? -Infinity)) {
      return;
    }
    this.changes++;
    this.#unreachableAt.set(key, Math.max(at, this.#unreachableAt.get(key) ?? -Infinity));
  }

  markReachable(key: string): void {
    this.#reachedAt.set(key, this.clock.now());
    if (this.#unreachableAt.delete(key)) {
      this.changes++;
    }
  }

  /** Recently unreachable contacts, to be reported to peers. */
  recentlyUnreachable(): { key: string; ageMilliseconds: number }[] {
    const now = this.clock.now();
    const recent: { key: string; ageMilliseconds: number }[] = [];
    for (const [key, at] of this.#unreachableAt) {
      const ageMilliseconds = now - at;
      if (ageMilliseconds >= UNREACHABLE_MILLISECONDS) {
        this.#unreachableAt.delete(key);
        this.changes++;
      } else {
        recent.push({ key, ageMilliseconds });
      }
    }
    recent.sort((a, b) => a.ageMilliseconds - b.ageMilliseconds);
    return recent.slice(0, MAXIMUM_UNREACHABLE_REPORTED);
  }

  #contacts(): Member[] {
    return this.summaries()
      .filter((summary) => summary.failureDomain !== this.ownDomain)
      .flatMap((summary) => summary.contacts)
      .filter(isServing);
  }

  #isUnreachable(key: string): boolean {
    const at = this.#unreachableAt.get(key);
    return at !== undefined && this.clock.now() - at < UNREACHABLE_MILLISECONDS;
  }

  #set(summary: DomainSummary): void {
    this.changes++;
    this.#removeFormerContacts(summary);
    this.#summaries.set(summary.failureDomain, summary);
    this.#digest = digestOfSummaries(this.#summaries.values());
  }

  #removeFormerContacts(next: DomainSummary): void {
    const kept = new Set(next.contacts.map(memberKey));
    for (const contact of this.#summaries.get(next.failureDomain)?.contacts ?? []) {
      const key = memberKey(contact);
      if (!kept.has(key)) {
        this.#unreachableAt.delete(key);
        this.#reachedAt.delete(key);
      }
    }
  }
}
