import type { Clock } from '@ferrylock/utils';
import type { Member, MemberIdentity } from './member.js';
import { isRunning, memberKey, supersedes } from './member.js';

/** Transmissions of each update per log2 of the number of members. */
const TRANSMISSIONS_FACTOR = 3;
/** Maximum number of updates in one message, which bounds its size in large domains. */
const MAXIMUM_UPDATES = 8;
/** Retention of dead members, so that a delayed update does not resurrect them. */
const TOMBSTONE_MILLISECONDS = 60_000;

interface Entry {
  member: Member;
  changedAt: number;
  transmissionsLeft: number;
}

/** One member's view of all members of its failure domain. */
export class MemberTable {
  readonly #entries = new Map<string, Entry>();
  readonly #clock: Clock;
  readonly selfKey: string;
  /** Change counter that lets callers cache views derived from the members. */
  changes = 0;

  constructor(identity: MemberIdentity, clock: Clock) {
    this.#clock = clock;
    this.selfKey = memberKey(identity);
    this.#set({ ...identity, state: 'alive', version: 0 });
  }

  get self(): Member {
    const entry = this.#entries.get(this.selfKey);
    if (entry === undefined) {
      throw new Error('member table has no entry for its own member');
    }
    return entry.member;
  }

  get(key: string): Member | undefined {
    return this.#entries.get(key)?.member;
  }

  /** All members not known to be dead, including this one. */
  running(): Member[] {
    return this.all().filter(isRunning);
  }

  /** All members not known to be dead, except this one. */
  others(): Member[] {
    return this.running().filter((member) => memberKey(member) !== this.selfKey);
  }

  all(): Member[] {
    return [...this.#entries.values()].map((entry) => entry.member);
  }

  /** Sets this member's own state under a new version. */
  announce(state: Member['state']): void {
    this.#set({ ...this.self, state, version: this.self.version + 1 });
  }

  /** Applies a peer's update if it is newer; refutes false suspicions of this member. */
  merge(update: Member): void {
    const key = memberKey(update);
    if (key === this.selfKey) {
      this.#refute(update);
      return;
    }
    const known = this.#entries.get(key);
    const isNewer = known === undefined ? isRunning(update) : supersedes(update, known.member);
    if (isNewer) {
      this.#set(update);
    }
  }

  /** Records a state that this member observed of another. */
  mark(key: string, state: 'leaving' | 'suspect' | 'dead'): void {
    const known = this.#entries.get(key);
    if (known !== undefined) {
      this.merge({ ...known.member, state });
    }
  }

  /** Marks earlier incarnations at the address of a responding process as dead. */
  markReplaced(current: Member): void {
    for (const member of this.others()) {
      const sameAddress = member.controlAddress === current.controlAddress;
      if (sameAddress && member.incarnation !== current.incarnation) {
        this.mark(memberKey(member), 'dead');
      }
    }
  }

  /** Declares suspects dead that did not refute in time, and removes expired tombstones. */
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

  /** Takes the next updates to disseminate, least often sent first. */
  takeUpdates(): Member[] {
    const pending = [...this.#entries.values()].filter((entry) => entry.transmissionsLeft > 0);
    pending.sort((a, b) => b.transmissionsLeft - a.transmissionsLeft);
    const chosen = pending.slice(0, MAXIMUM_UPDATES);
    for (const entry of chosen) {
      entry.transmissionsLeft--;
    }
    return chosen.map((entry) => entry.member);
  }

  #refute(reported: Member): void {
    const { version, state } = this.self;
    const isSuspected = reported.state === 'suspect' || reported.state === 'dead';
    if (isSuspected && state !== 'dead' && reported.version >= version) {
      this.#set({ ...this.self, version: reported.version + 1 });
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
