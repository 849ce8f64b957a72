import type { Clock } from '@ferrylock/utils';
import type { Member, MemberIdentity } from './member.js';
import { isRunning, memberKey, supersedes } from './member.js';

/** Times that each piece of news is passed on, over the logarithm of the number of members. */
const TRANSMISSIONS_FACTOR = 3;
/** News in one message, so that its size does not grow with the domain. */
const MAXIMUM_UPDATES = 8;
/** How long a dead member is remembered, so that late news of it does not bring it back. */
const TOMBSTONE_MILLISECONDS = 60_000;

interface Entry {
  member: Member;
  changedAt: number;
  transmissionsLeft: number;
}

/** The members of one failure domain as one of them knows them. */
export class MemberTable {
  readonly #entries = new Map<string, Entry>();
  readonly #clock: Clock;
  readonly selfKey: string;
  /** Counts what has been learned, so that a view made of the members can be kept until it changes. */
  changes = 0;

  constructor(identity: MemberIdentity, clock: Clock) {
    this.#clock = clock;
    this.selfKey = memberKey(identity);
    this.#set({ ...identity, state: 'alive', version: 0 });
  }

  get self(): Member {
    const entry = this.#entries.get(this.selfKey);
    if (entry === undefined) {
      throw new Error('a member always knows itself');
    }
    return entry.member;
  }

  get(key: string): Member | undefined {
    return this.#entries.get(key)?.member;
  }

  /** All members that are not known to be dead, this one included. */
  running(): Member[] {
    return this.all().filter(isRunning);
  }

  /** All members that are not known to be dead, but this one. */
  others(): Member[] {
    return this.running().filter((member) => memberKey(member) !== this.selfKey);
  }

  all(): Member[] {
    return [...this.#entries.values()].map((entry) => entry.member);
  }

  /** Says something new of this member itself. */
  announce(state: Member['state']): void {
    this.#set({ ...this.self, state, version: this.self.version + 1 });
  }

  /** Takes up what a peer says, if it is news; refutes what is said wrongly of this member. */
  merge(update: Member): void {
    const key = memberKey(update);
    if (key === this.selfKey) {
      this.#refute(update);
      return;
    }
    const known = this.#entries.get(key);
    const isNews = known === undefined ? isRunning(update) : supersedes(update, known.member);
    if (isNews) {
      this.#set(update);
    }
  }

  /** Records this member's own finding about another. */
  mark(key: string, state: 'leaving' | 'suspect' | 'dead'): void {
    const known = this.#entries.get(key);
    if (known !== undefined) {
      this.merge({ ...known.member, state });
    }
  }

  /** A process that answers at an address is the only one there: the others are gone. */
  markReplaced(current: Member): void {
    for (const member of this.others()) {
      const sameAddress = member.controlAddress === current.controlAddress;
      if (sameAddress && member.incarnation !== current.incarnation) {
        this.mark(memberKey(member), 'dead');
      }
    }
  }

  /** Declares suspects dead that did not refute in time, and forgets old tombstones. */
  expire(suspicionMilliseconds: number): void {
    const now = this.#clock.now();
    for (const [key, entry] of this.#entries) {
      const age = now - entry.changedAt;
      if (entry.member.state === 'suspect' && age >= suspicionMilliseconds) {
        this.mark(key, 'dead');
      } else if (entry.member.state === 'dead' && age >= TOMBSTONE_MILLISECONDS) {
        this.#entries.delete(key);
      }
    }
  }

  /** The news to pass on next, least often told first. */
  takeUpdates(): Member[] {
    const pending = [...this.#entries.values()].filter((entry) => entry.transmissionsLeft > 0);
    pending.sort((a, b) => b.transmissionsLeft - a.transmissionsLeft);
    const chosen = pending.slice(0, MAXIMUM_UPDATES);
    for (const entry of chosen) {
      entry.transmissionsLeft--;
    }
    return chosen.map((entry) => entry.member);
  }

  #refute(said: Member): void {
    const { version, state } = this.self;
    const accused = said.state === 'suspect' || said.state === 'dead';
    if (accused && state !== 'dead' && said.version >= version) {
      this.#set({ ...this.self, version: said.version + 1 });
    }
  }

  #set(member: Member): void {
    this.changes++;
    const transmissions = TRANSMISSIONS_FACTOR * Math.ceil(Math.log2(this.#entries.size + 2));
    this.#entries.set(memberKey(member), {
      member,
      changedAt: this.#clock.now(),
      transmissionsLeft: transmissions,
    });
  }
}
