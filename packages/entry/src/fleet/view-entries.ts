import { stableHash } from '@ferrylock/utils';
import { compareRecords } from './compare-records.js';
import type { RecordOrder } from './compare-records.js';
import type { FleetChange, FleetRecord } from './fleet-record.js';
import { SupersededRecords } from './superseded-records.js';
import type { StorePosition } from './store-position.js';
import { epochOf, isAfter } from './store-position.js';

const RADIX = 36;

/**
 * Every key's latest change, as far as this host knows. Within one life of the store its revisions order them. Between two lives records are
 * ordered by their own numbers, where they have any: after a return from a copy the store holds less than was known of it, and what was known is
 * kept, at its position of the former life, until who wrote it has written it again.
 */
export class ViewEntries {
  /** The life of the store that is the present one. */
  epoch = 0;
  readonly #latest = new Map<string, FleetChange>();
  /** What the store holds under keys of which more is known. */
  readonly #shadowed = new Map<string, FleetChange>();
  readonly #formerStarts = new SupersededRecords();
  /** What was asked for of each kind, until a record of the kind changes. */
  readonly #records = new Map<FleetRecord['kind'], readonly FleetRecord[]>();
  #retainedDigest: string | undefined;
  #isKeptMarkKnown = true;

  /** @param retainsRecords - whether what is known beyond a store that came back from a copy is kept */
  constructor(readonly retainsRecords: boolean) {}

  /** Everything held, without what is gone. */
  get present(): FleetChange[] {
    return [...this.#latest.values()].filter(({ record }) => record !== undefined);
  }

  /** What is known beyond what the store holds since it came back from a copy. */
  get retained(): FleetChange[] {
    return this.present.filter((change) => this.isFromPreviousEpoch(change));
  }

  /** What the store holds under keys of which more is known. */
  get shadowed(): FleetChange[] {
    return [...this.#shadowed.values()].filter(({ record }) => record !== undefined);
  }

  /** Of what is kept, the keys that the store holds no more. */
  get missing(): string[] {
    const keys = this.retained.map(({ key }) => key);
    return keys.filter((key) => this.#shadowed.get(key)?.record === undefined);
  }

  /** Names what is kept, for hosts to see whether they keep the same; undefined where nothing is. */
  get retainedDigest(): string | undefined {
    if (!this.#isKeptMarkKnown) {
      const rows = this.retained.map(
        ({ key, epoch = 0, revision }) => `${key} ${epoch} ${revision}`,
      );
      this.#retainedDigest =
        rows.length === 0 ? undefined : stableHash(rows.sort().join('\n')).toString(RADIX);
      this.#isKeptMarkKnown = true;
    }
    return this.#retainedDigest;
  }

  /** Whether all that is known is what the store holds. */
  get isReconciled(): boolean {
    return this.retainedDigest === undefined && this.#shadowed.size === 0;
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

  /** Revision of a key in the store's present life, as far as is known; 0 where it holds none. */
  storedRevision(key: string): number {
    const written = this.isRetained(key) ? this.#shadowed.get(key) : this.#latest.get(key);
    return written?.record === undefined ? 0 : written.revision;
  }

  /** Whether more is known of a key than the store holds. */
  isRetained(key: string): boolean {
    const latest = this.#latest.get(key);
    return latest?.record !== undefined && this.isFromPreviousEpoch(latest);
  }

  isFromPreviousEpoch(change: StorePosition): boolean {
    return epochOf(change) < this.epoch;
  }

  /** The next life begins, in which the store holds what it held in the one before, but for what is spoken of. */
  beginEpoch(epoch: number, spokenOf: ReadonlySet<string>): void {
    const former = [...this.#latest.values()].filter((latest) => !this.isFromPreviousEpoch(latest));
    for (const latest of former.filter(({ key }) => !spokenOf.has(key))) {
      // A revision at which something went is of the former life, and may be given out again.
      const revision = latest.record === undefined ? 0 : latest.revision;
      this.#latest.set(latest.key, { ...latest, epoch, revision });
    }
    for (const [key, word] of this.#shadowed) {
      if (spokenOf.has(key)) {
        this.#shadowed.delete(key);
      } else {
        this.#shadowed.set(key, { ...word, epoch });
      }
    }
    this.epoch = epoch;
    this.#isKeptMarkKnown = false;
  }

  /** Whether a listed record is what is known, at the same revision. */
  isUnchanged({ key, revision, record }: FleetChange): boolean {
    const latest = this.#latest.get(key);
    return (
      latest?.revision === revision &&
      !this.isFromPreviousEpoch(latest) &&
      JSON.stringify(latest.record) === JSON.stringify(record)
    );
  }

  /** Whether a change of another life is newer than what is known by the numbers that stand in it. */
  hasNewerVersion(change: FleetChange): boolean {
    const isOfOtherLife = epochOf(change) !== this.epoch;
    return isOfOtherLife && orderOf(change, this.#latest.get(change.key)) === 'newer';
  }

  /** Whether a change is to be taken over. A configuration stays in force where what comes after it cannot be read; all else is gone then. */
  isNewer(change: FleetChange): boolean {
    const latest = this.#latest.get(change.key);
    if (latest === undefined) {
      return true;
    }
    if (change.isUnreadable === true && latest.record?.kind === 'configuration') {
      return false;
    }
    if (epochOf(change) === epochOf(latest)) {
      return change.revision > latest.revision;
    }
    return this.#isNewsOfOtherLife(change, latest);
  }

  /** Takes over a change that is news. How it was found says nothing about it later. */
  put(news: FleetChange): void {
    const change = { ...news };
    delete change.isListed;
    const { key } = change;
    const former = this.#latest.get(key);
    this.#forgetRecords(former?.record, change.record);
    this.#formerStarts.record(change, former?.record);
    this.#latest.set(key, change);
    this.#isKeptMarkKnown = false;
    if (!this.isFromPreviousEpoch(change)) {
      this.#shadowed.delete(key);
    } else if (former !== undefined && !this.isFromPreviousEpoch(former)) {
      this.#shadowed.set(key, former);
    }
  }

  /** Remembers what the store's present life holds, where more is known; tells whether it is so. */
  recordShadowed(change: FleetChange): boolean {
    const latest = this.#latest.get(change.key);
    const isWord =
      epochOf(change) === this.epoch && latest !== undefined && this.isFromPreviousEpoch(latest);
    if (isWord) {
      this.#shadowed.set(change.key, change);
    }
    return isWord;
  }

  /** The store's present life holds nothing under keys that are not listed. */
  dropShadowed(listed: ReadonlySet<string>): void {
    for (const key of this.#shadowed.keys()) {
      if (!listed.has(key)) {
        this.#shadowed.delete(key);
      }
    }
  }

  /**
   * What holds once all have had time to write again what the store had lost: what it still lacks is gone, and what it still holds is
   * there, whatever was known before. A configuration is never gone, and no record takes back what is newer by its own numbers.
   */
  reconcile(): FleetChange[] {
    const news = [...this.#latest.values()]
      .filter((latest) => this.isFromPreviousEpoch(latest))
      .flatMap((latest) => this.#settled(latest));
    for (const change of news) {
      this.put(change);
    }
    return news;
  }

  #settled({ key, record }: FleetChange): FleetChange[] {
    const word = this.#shadowed.get(key);
    const isBelieved = record === undefined || record.kind === 'entryHost';
    if (isBelieved && word?.record !== undefined) {
      return [word];
    }
    const isGone = record?.kind !== 'configuration' && word?.record === undefined;
    return isGone ? [{ key, epoch: this.epoch, revision: 0 }] : [];
  }

  #isNewsOfOtherLife(change: FleetChange, latest: FleetChange): boolean {
    if (!this.retainsRecords) {
      return isAfter(change, latest);
    }
    const order = orderOf(change, latest);
    if (order !== undefined) {
      return order === 'newer';
    }
    if (change.isListed !== true) {
      return isAfter(change, latest);
    }
    return change.record === undefined
      ? latest.record === undefined || latest.record.kind === 'target'
      : !this.#formerStarts.mayBeStale(change.record, latest);
  }

  /** The records of these kinds are put together anew when they are asked for. */
  #forgetRecords(...changed: readonly (FleetRecord | undefined)[]): void {
    for (const record of changed) {
      if (record !== undefined) {
        this.#records.delete(record.kind);
      }
    }
  }
}

function orderOf({ record }: FleetChange, latest: FleetChange | undefined): RecordOrder {
  return record === undefined || latest?.record === undefined
    ? undefined
    : compareRecords(record, latest.record);
}
