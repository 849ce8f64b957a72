import { stableHash } from '@ferrylock/utils';
import { compareRecords } from './compare-records.js';
import type { RecordOrder } from './compare-records.js';
import type { FleetChange, FleetRecord } from './fleet-record.js';
import { SupersededRecords } from './superseded-records.js';
import type { StorePosition } from './store-position.js';
import { epochOf, isAfter } from './store-position.js';

const RADIX = 36;

/**
 * Latest known change of every key. Revisions order changes within an epoch of the store; across
 * epochs, records are ordered by their own version numbers, if any. Records that a restored store
 * has lost are retained at their old position until they are rewritten.
 */
export class ViewEntries {
  /** Current epoch of the store. */
  epoch = 0;
  readonly #latest = new Map<string, FleetChange>();
  /** Changes in the store that a newer retained record shadows. */
  readonly #shadowed = new Map<string, FleetChange>();
  readonly #supersededRecords = new SupersededRecords();
  /** Cached records of each kind, until a record of the kind changes. */
  readonly #records = new Map<FleetRecord['kind'], readonly FleetRecord[]>();
  #retainedDigest: string | undefined;
  #isDigestCurrent = true;

  /** @param retainsRecords - whether records that a restored store has lost are retained */
  constructor(readonly retainsRecords: boolean) {}

  /** Latest changes of all keys that are not deleted. */
  get present(): FleetChange[] {
    return [...this.#latest.values()].filter(({ record }) => record !== undefined);
  }

  /** Records that are newer than what the restored store holds. */
  get retained(): FleetChange[] {
    return this.present.filter((change) => this.isFromPreviousEpoch(change));
  }

  /** Records of the store that a newer retained record shadows. */
  get shadowed(): FleetChange[] {
    return [...this.#shadowed.values()].filter(({ record }) => record !== undefined);
  }

  /** Retained keys that the store no longer holds. */
  get missing(): string[] {
    const keys = this.retained.map(({ key }) => key);
    return keys.filter((key) => this.#shadowed.get(key)?.record === undefined);
  }

  /** Digest of the retained records, for comparison between hosts; undefined if there are none. */
  get retainedDigest(): string | undefined {
    if (!this.#isDigestCurrent) {
      const rows = this.retained.map(
        ({ key, epoch = 0, revision }) => `${key} ${epoch} ${revision}`,
      );
      this.#retainedDigest =
        rows.length === 0 ? undefined : stableHash(rows.sort().join('\n')).toString(RADIX);
      this.#isDigestCurrent = true;
    }
    return this.#retainedDigest;
  }

  /** Whether the entries are those of the store. */
  get isReconciled(): boolean {
    return this.retainedDigest === undefined && this.#shadowed.size === 0;
  }

  /** All records of a kind; the same array while none of them changes. */
  records<Kind extends FleetRecord['kind']>(
    kind: Kind,
  ): readonly Extract<FleetRecord, { kind: Kind }>[] {
    type KindRecord = Extract<FleetRecord, { kind: Kind }>;
    const cached = this.#records.get(kind);
    if (cached !== undefined) {
      return cached as readonly KindRecord[];
    }
    const all = [...this.#latest.values()].map(({ record }) => record);
    const records = all.filter((record): record is KindRecord => record?.kind === kind);
    this.#records.set(kind, records);
    return records;
  }

  /** Known revision of a key in the current epoch of the store; 0 if the store does not hold it. */
  storedRevision(key: string): number {
    const stored = this.isRetained(key) ? this.#shadowed.get(key) : this.#latest.get(key);
    return stored?.record === undefined ? 0 : stored.revision;
  }

  /** Whether the record of a key is newer than what the store holds. */
  isRetained(key: string): boolean {
    const latest = this.#latest.get(key);
    return latest?.record !== undefined && this.isFromPreviousEpoch(latest);
  }

  isFromPreviousEpoch(change: StorePosition): boolean {
    return epochOf(change) < this.epoch;
  }

  /** Begins an epoch in which all keys but the changed ones are as in the previous epoch. */
  beginEpoch(epoch: number, changed: ReadonlySet<string>): void {
    const stored = [...this.#latest.values()].filter((latest) => !this.isFromPreviousEpoch(latest));
    for (const latest of stored.filter(({ key }) => !changed.has(key))) {
      // The revision of a deletion in the previous epoch may be assigned again in this one.
      const revision = latest.record === undefined ? 0 : latest.revision;
      this.#latest.set(latest.key, { ...latest, epoch, revision });
    }
    for (const [key, shadowed] of this.#shadowed) {
      if (changed.has(key)) {
        this.#shadowed.delete(key);
      } else {
        this.#shadowed.set(key, { ...shadowed, epoch });
      }
    }
    this.epoch = epoch;
    this.#isDigestCurrent = false;
  }

  /** Whether a listed record equals the known one, at the same revision. */
  isUnchanged({ key, revision, record }: FleetChange): boolean {
    const latest = this.#latest.get(key);
    return (
      latest?.revision === revision &&
      !this.isFromPreviousEpoch(latest) &&
      JSON.stringify(latest.record) === JSON.stringify(record)
    );
  }

  /** Whether a change of another epoch is newer by the version numbers in the records. */
  hasNewerVersion(change: FleetChange): boolean {
    const isFromOtherEpoch = epochOf(change) !== this.epoch;
    return isFromOtherEpoch && orderOf(change, this.#latest.get(change.key)) === 'newer';
  }

  /** Whether to apply a change. An unreadable value deletes any record but a configuration. */
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
    return this.#isNewerAcrossEpochs(change, latest);
  }

  /** Whether a change is the latest known one of its key. */
  isLatest(change: FleetChange): boolean {
    const latest = this.#latest.get(change.key);
    return (
      latest !== undefined &&
      epochOf(latest) === epochOf(change) &&
      latest.revision === change.revision
    );
  }

  /** Latest changes after a position, deletions included. */
  after(position: StorePosition): FleetChange[] {
    return [...this.#latest.values()].filter((change) => isAfter(change, position));
  }

  /** Applies a newer change. */
  put(newer: FleetChange): void {
    const change = { ...newer };
    delete change.isListed;
    const { key } = change;
    const previous = this.#latest.get(key);
    this.#invalidateRecords(previous?.record, change.record);
    this.#supersededRecords.record(change, previous?.record);
    this.#latest.set(key, change);
    this.#isDigestCurrent = false;
    if (!this.isFromPreviousEpoch(change)) {
      this.#shadowed.delete(key);
    } else if (previous !== undefined && !this.isFromPreviousEpoch(previous)) {
      this.#shadowed.set(key, previous);
    }
  }

  /** Records a change that a retained record shadows; returns whether there is one. */
  recordShadowed(change: FleetChange): boolean {
    const latest = this.#latest.get(change.key);
    const isShadowed =
      epochOf(change) === this.epoch && latest !== undefined && this.isFromPreviousEpoch(latest);
    if (isShadowed) {
      this.#shadowed.set(change.key, change);
    }
    return isShadowed;
  }

  /** Discards shadowed changes whose keys are not listed. */
  dropShadowed(listed: ReadonlySet<string>): void {
    for (const key of this.#shadowed.keys()) {
      if (!listed.has(key)) {
        this.#shadowed.delete(key);
      }
    }
  }

  /**
   * Adopts the content of the store after the grace period for rewriting lost records.
   * Configurations and records that are newer by their own version numbers stay retained.
   */
  reconcile(): FleetChange[] {
    const changes = [...this.#latest.values()]
      .filter((latest) => this.isFromPreviousEpoch(latest))
      .flatMap((latest) => this.#reconciled(latest));
    for (const change of changes) {
      this.put(change);
    }
    return changes;
  }

  #reconciled({ key, record }: FleetChange): FleetChange[] {
    const stored = this.#shadowed.get(key);
    const mayAdopt = record === undefined || record.kind === 'entryHost';
    if (mayAdopt && stored?.record !== undefined) {
      return [stored];
    }
    const isDeleted = record?.kind !== 'configuration' && stored?.record === undefined;
    return isDeleted ? [{ key, epoch: this.epoch, revision: 0 }] : [];
  }

  #isNewerAcrossEpochs(change: FleetChange, latest: FleetChange): boolean {
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
      : !this.#supersededRecords.mayBeStale(change.record, latest);
  }

  /** Drops the cached records of the kinds of these. */
  #invalidateRecords(...changed: readonly (FleetRecord | undefined)[]): void {
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
