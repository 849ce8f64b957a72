import type { FleetChange, FleetRecord } from './fleet-record.js';

/** Changes that are kept to be handed to other entry hosts. */
const KEPT_CHANGES = 2_000;

/** Changes that lead from one revision to another. */
export interface FleetDelta {
  readonly afterRevision: number;
  readonly revision: number;
  readonly changes: readonly FleetChange[];
}

export type FleetListener = (changes: readonly FleetChange[]) => void;

/**
 * What this entry host believes that the store holds: every key's latest change, up to a revision.
 * It never goes back, whatever order news comes in and from whom.
 */
export class FleetView {
  /** Every change up to this revision is known. 0 before anything is. */
  revision = 0;
  /**
   * Revision of the newest change that is known. Unlike {@link revision} it stands still while the
   * store counts on without a change, so that hosts can compare it.
   */
  lastChange = 0;
  /** When the store is known to have held nothing newer, in monotonic milliseconds. */
  confirmedAt = -Infinity;
  readonly #latest = new Map<string, FleetChange>();
  /** What was asked for of each kind, until a record of the kind changes. */
  readonly #records = new Map<FleetRecord['kind'], readonly FleetRecord[]>();
  readonly #history: FleetChange[] = [];
  /** The history reaches back to the changes after this revision. */
  #historyAfter = 0;
  readonly #listeners: FleetListener[] = [];

  get isEmpty(): boolean {
    return this.revision === 0;
  }

  /** Everything held, without what is gone. */
  get entries(): FleetChange[] {
    return [...this.#latest.values()].filter(({ record }) => record !== undefined);
  }

  /** Everything of a kind; the same array while nothing of the kind changes. */
  records<Kind extends FleetRecord['kind']>(
    kind: Kind,
  ): readonly Extract<FleetRecord, { kind: Kind }>[] {
    type Wanted = Extract<FleetRecord, { kind: Kind }>;
    const known = this.#records.get(kind);
    if (known !== undefined) {
      return known as readonly Wanted[];
    }
    const records = [...this.#latest.values()].map(({ record }) => record);
    const wanted = records.filter((record): record is Wanted => record?.kind === kind);
    this.#records.set(kind, wanted);
    return wanted;
  }

  /** Calls back after each step forward, with the changes that were new. */
  onChanges(listener: FleetListener): void {
    this.#listeners.push(listener);
  }

  /** The store, or who heard from it, had no newer change than this one at this time. */
  confirm(lastChange: number, at: number): void {
    if (lastChange >= this.lastChange) {
      this.confirmedAt = Math.max(this.confirmedAt, at);
    }
  }

  /** Takes changes on. Those after a revision that is not reached yet are refused with false. */
  apply({ afterRevision, revision, changes }: FleetDelta): boolean {
    if (afterRevision > this.revision) {
      return false;
    }
    const news = changes.filter((change) => this.#isNews(change));
    this.#take(news);
    this.revision = Math.max(this.revision, revision);
    this.#notify(news);
    return true;
  }

  /** Takes a whole listing on: keys that it lacks are gone, unless they are newer than it. */
  replace(revision: number, entries: readonly FleetChange[]): void {
    if (revision < this.revision) {
      return;
    }
    const listed = new Set(entries.map(({ key }) => key));
    const gone = this.entries
      .filter(({ key, revision: changed }) => !listed.has(key) && changed <= revision)
      .map(({ key }) => ({ key, revision }));
    const news = [...entries.filter((change) => this.#isNews(change)), ...gone];
    this.#take(news);
    this.#history.length = 0;
    this.#historyAfter = revision;
    this.revision = revision;
    this.#notify(news);
  }

  /** What leads from a revision to the present one, or undefined where that is no longer kept. */
  deltaAfter(revision: number): FleetDelta | undefined {
    if (revision < this.#historyAfter) {
      return undefined;
    }
    const changes = this.#history.filter((change) => change.revision > revision);
    return { afterRevision: revision, revision: this.revision, changes };
  }

  /** A configuration stays in force where what comes after it cannot be read; all else is gone then. */
  #isNews({ key, revision, isUnreadable }: FleetChange): boolean {
    const latest = this.#latest.get(key);
    const isKept = isUnreadable === true && latest?.record?.kind === 'configuration';
    return revision > (latest?.revision ?? 0) && !isKept;
  }

  #take(news: readonly FleetChange[]): void {
    for (const change of news) {
      this.#forgetRecords(this.#latest.get(change.key)?.record, change.record);
      this.#latest.set(change.key, change);
      this.#history.push(change);
      this.lastChange = Math.max(this.lastChange, change.revision);
    }
    while (this.#history.length > KEPT_CHANGES) {
      this.#historyAfter = this.#history.shift()?.revision ?? this.#historyAfter;
    }
  }

  /** The records of these kinds are put together anew when they are asked for. */
  #forgetRecords(...changed: readonly (FleetRecord | undefined)[]): void {
    for (const record of changed) {
      if (record !== undefined) {
        this.#records.delete(record.kind);
      }
    }
  }

  #notify(news: readonly FleetChange[]): void {
    if (news.length > 0) {
      for (const listener of this.#listeners) {
        listener(news);
      }
    }
  }
}
