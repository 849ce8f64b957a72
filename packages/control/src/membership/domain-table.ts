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
 * How long a contact that did not answer is passed over. The domain's daemons together try it again
 * well before that, so that a dead one does not come back into sight.
 */
const UNREACHABLE_MILLISECONDS = 60_000;
/** Unreachable contacts named in one message, the latest first. */
const MAXIMUM_UNREACHABLE_TOLD = 16;

/** What one daemon knows of all failure domains, its own included. */
export class DomainTable {
  readonly #summaries = new Map<string, DomainSummary>();
  /** When contacts were last found not to answer. */
  readonly #unreachableAt = new Map<string, number>();
  /** When contacts were last found to answer. */
  readonly #reachedAt = new Map<string, number>();
  #digest = digestOfSummaries([]);
  /** Counts what has been learned, so that a view made of the contacts can be kept until it changes. */
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

  /** Contacts in other domains that answered when last tried. */
  reachableContacts(): Member[] {
    return this.#contacts().filter((contact) => !this.#isUnreachable(memberKey(contact)));
  }

  /** Contacts in other domains that did not answer when last tried. */
  unreachableContacts(): Member[] {
    return this.#contacts().filter((contact) => this.#isUnreachable(memberKey(contact)));
  }

  merge(update: DomainSummary): void {
    const known = this.#summaries.get(update.failureDomain);
    if (known === undefined || summaryReplaces(update, known)) {
      this.#set(update);
    }
  }

  /** Writes the summary of this daemon's own domain anew where its members have changed. */
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

  /** Contacts that did not answer lately, to be told to peers. */
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
    return recent.slice(0, MAXIMUM_UNREACHABLE_TOLD);
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
    this.#forgetFormerContacts(summary);
    this.#summaries.set(summary.failureDomain, summary);
    this.#digest = digestOfSummaries(this.#summaries.values());
  }

  #forgetFormerContacts(next: DomainSummary): void {
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
