import type { DisabledMechanisms } from '@ferrylock/routing';
import { NO_DISABLED_MECHANISMS } from '@ferrylock/routing';
import type { FleetDelta } from './fleet-delta.js';
import type { FleetChange, FleetRecord } from './fleet-record.js';
import type { StorePosition } from './store-position.js';
import { epochOf, isAfter, laterOf, NO_POSITION, positionOf } from './store-position.js';
import type { StoreRestore } from './store-restore.js';
import { ViewEntries } from './view-entries.js';
import { ViewHistory } from './view-history.js';

/** A confirmation that a view held everything that the store did. */
export interface ViewConfirmation {
  /** Monotonic time in milliseconds. */
  readonly at: number;
  /** `store`, or the peer that passed it on. */
  readonly source: string;
}

export type FleetListener = (changes: readonly FleetChange[]) => void;

/**
 * Replica of the store's content on this entry host: the latest change of every key up to a
 * position. It only moves forward, whatever the order and the source of updates.
 */
export class FleetView {
  /** Position up to which every change is known. */
  position: StorePosition = NO_POSITION;
  /**
   * Position of the newest change up to {@link position}. Unlike that, it does not advance without a
   * change, so hosts can compare it: whoever has the same has every change up to it.
   */
  lastChange: StorePosition = NO_POSITION;
  /** Newest confirmation that the view was up to date. */
  confirmation: ViewConfirmation = { at: -Infinity, source: 'none' };
  readonly #entries: ViewEntries;
  readonly #history = new ViewHistory();
  readonly #changeListeners: FleetListener[] = [];
  readonly #restoreListeners: ((restore: StoreRestore) => void)[] = [];

  constructor(disabledMechanisms: DisabledMechanisms = NO_DISABLED_MECHANISMS) {
    this.#entries = new ViewEntries(!disabledMechanisms.has('kept-records'));
  }

  get revision(): number {
    return this.position.revision;
  }

  get epoch(): number {
    return epochOf(this.position);
  }

  /** Monotonic time at which the view was last known to be up to date, in milliseconds. */
  get confirmedAt(): number {
    return this.confirmation.at;
  }

  get isEmpty(): boolean {
    return this.revision === 0;
  }

  /** Latest changes of all keys that are not deleted. */
  get entries(): FleetChange[] {
    return this.#entries.present;
  }

  /** Records that are newer than what the restored store holds. */
  get retained(): FleetChange[] {
    return this.#entries.retained;
  }

  /** Digest of the retained records, for comparison between hosts; undefined if there are none. */
  get retainedDigest(): string | undefined {
    return this.#entries.retainedDigest;
  }

  /** Whether there is nothing to {@link reconcile}. */
  get isReconciled(): boolean {
    return this.#entries.isReconciled;
  }

  /** All records of a kind; the same array while none of them changes. */
  records<Kind extends FleetRecord['kind']>(
    kind: Kind,
  ): readonly Extract<FleetRecord, { kind: Kind }>[] {
    return this.#entries.records(kind);
  }

  /** Known revision of a key in the current epoch of the store; 0 if the store does not hold it. */
  storedRevision(key: string): number {
    return this.#entries.storedRevision(key);
  }

  /** Whether the record of a key is newer than what the store holds. */
  isRetained(key: string): boolean {
    return this.#entries.isRetained(key);
  }

  /** Registers a listener for changes that were applied. */
  onChanges(listener: FleetListener): void {
    this.#changeListeners.push(listener);
  }

  /** Registers a listener for restores of the store, called before those for the changes. */
  onRestore(listener: (restore: StoreRestore) => void): void {
    this.#restoreListeners.push(listener);
  }

  /**
   * Records that this was the newest change of the store at a point in time. It counts only if this
   * view has every change up to it.
   */
  confirm(lastChange: StorePosition, confirmation: ViewConfirmation): void {
    const isCurrentEpoch = epochOf(lastChange) === epochOf(this.lastChange);
    const isNewer = confirmation.at > this.confirmedAt;
    if (isNewer && isCurrentEpoch && !isAfter(lastChange, this.lastChange)) {
      this.confirmation = confirmation;
    }
  }

  /** Applies changes; returns false if the delta starts after the position of the view. */
  apply(delta: FleetDelta): boolean {
    const { afterEpoch, afterRevision, epoch, revision, lastChange = 0 } = delta;
    if (isAfter({ epoch: afterEpoch, revision: afterRevision }, this.position)) {
      return false;
    }
    const previous = this.position;
    const upTo = positionOf({ epoch, revision });
    const isRestore = epochOf(upTo) > this.epoch;
    const applied = this.#applyByEpoch(delta, upTo);
    if (isRestore) {
      this.#history.beginEpoch(upTo);
    }
    this.#advance(upTo, [...delta.changes, { epoch: epochOf(upTo), revision: lastChange }]);
    this.#notifyListeners(previous, applied);
    return true;
  }

  /**
   * Applies a full listing: keys that it lacks are deleted unless they are newer.
   *
   * @param lastChange - newest change up to the position; a listing of the store does not show it, as
   *   it may be a deletion
   * @returns false if the listing is outdated; only records with newer version numbers are applied
   */
  replace(
    position: StorePosition,
    entries: readonly FleetChange[],
    lastChange: StorePosition = position,
  ): boolean {
    const previous = this.position;
    if (isAfter(previous, position)) {
      const newer = entries.filter((change) => this.#entries.hasNewerVersion(change));
      this.#notifyListeners(previous, this.#applyNewer(newer));
      return false;
    }
    const isRestore = !this.isEmpty && epochOf(position) > this.epoch;
    const applied = isRestore
      ? this.#replaceAfterRestore(position, entries)
      : this.#replaceWithinEpoch(position, entries);
    this.#advance(positionOf(position), [...entries, lastChange]);
    this.#notifyListeners(previous, applied);
    return true;
  }

  /** Changes after a position, or undefined if the history does not cover it. */
  deltaSince(position: StorePosition): FleetDelta | undefined {
    const changes = this.#history.since(position, this.epoch);
    return changes && { ...this.#deltaHead(position), changes, kept: this.retained };
  }

  /** Full state, for hosts whose position the history does not cover. */
  snapshot(): FleetDelta {
    const shadowed = this.#entries.shadowed.map((change) => ({ ...change, isListed: true }));
    return { ...this.#deltaHead(NO_POSITION), changes: [...this.entries, ...shadowed] };
  }

  /** Adopts the content of the store after the grace period for rewriting lost records. */
  reconcile(): void {
    this.#notifyChanges(this.#entries.reconcile());
  }

  /** Applies changes epoch by epoch; of past epochs only records with newer version numbers. */
  #applyByEpoch({ changes, kept = [] }: FleetDelta, upTo: StorePosition): FleetChange[] {
    if (this.isEmpty) {
      this.#entries.beginEpoch(epochOf(upTo), new Set());
    }
    if (this.isEmpty || epochOf(upTo) === this.epoch) {
      return this.#applyNewer([...this.#unseen(changes), ...kept]);
    }
    if (epochOf(upTo) < this.epoch) {
      return this.#applyNewer(changes.filter((change) => this.#entries.hasNewerVersion(change)));
    }
    const epochs = new Set([...changes.map(epochOf), epochOf(upTo)]);
    const applied = [...epochs]
      .sort((one, other) => one - other)
      .flatMap((epoch) => {
        const ofEpoch = changes.filter((change) => epochOf(change) === epoch);
        if (epoch > this.epoch) {
          this.#beginEpoch(epoch, ofEpoch);
        }
        return this.#applyNewer(this.#unseen(ofEpoch));
      });
    return [...applied, ...this.#applyNewer(kept)];
  }

  /** Changes after the position; a key that is unknown by then was deleted after an earlier one. */
  #unseen(changes: readonly FleetChange[]): FleetChange[] {
    return changes.filter((change) => isAfter(change, this.position));
  }

  #beginEpoch(epoch: number, changes: readonly FleetChange[]): void {
    this.#history.endEpoch(this.position);
    this.#entries.beginEpoch(epoch, new Set(changes.map(({ key }) => key)));
    this.position = { epoch, revision: 0 };
    this.lastChange = { epoch, revision: 0 };
  }

  /** Applies the first listing of a new epoch, or the snapshot of another host. */
  #replaceAfterRestore(position: StorePosition, entries: readonly FleetChange[]): FleetChange[] {
    const { epoch, revision } = positionOf(position);
    const listed = entries.filter((change) => epochOf(change) === epoch);
    const retainedByPeer = entries.filter((change) => epochOf(change) < epoch);
    const keys = new Set(listed.map(({ key }) => key));
    const changed = listed
      .filter((change) => !this.#entries.isUnchanged(change))
      .map((change) => ({ ...change, isListed: true }));
    const held = new Set([...this.entries, ...this.#entries.shadowed].map(({ key }) => key));
    const missing = [...held]
      .filter((key) => !keys.has(key))
      .map((key) => ({ key, epoch, revision, isListed: true }));
    const difference = [...changed, ...missing].sort((one, other) => one.revision - other.revision);
    this.#beginEpoch(epoch, difference);
    this.#history.beginEpoch(position);
    this.lastChange = positionOf(position);
    return [...this.#applyNewer(difference), ...this.#applyNewer(retainedByPeer)];
  }

  /** Applies a listing of the current epoch. */
  #replaceWithinEpoch(position: StorePosition, entries: readonly FleetChange[]): FleetChange[] {
    const { epoch, revision } = positionOf(position);
    if (this.isEmpty) {
      this.#entries.beginEpoch(epoch, new Set());
    }
    const ofThisEpoch = entries.filter((change) => epochOf(change) === epoch);
    const listed = new Set(ofThisEpoch.map(({ key }) => key));
    this.#entries.dropShadowed(listed);
    const deleted = this.entries
      .filter((change) => !this.#entries.isFromPreviousEpoch(change))
      .filter(({ record }) => record?.kind !== 'configuration')
      .filter(({ key, revision: changed }) => !listed.has(key) && changed <= revision)
      .map(({ key }) => ({ key, epoch, revision }));
    const applied = this.#applyNewer(entries);
    for (const change of deleted) {
      this.#entries.put(change);
    }
    this.#history.reset(positionOf(position));
    // Pages of a listing are read one after the other: later ones may hold changes after its position.
    for (const change of this.#entries.after(position)) {
      this.#history.add(change);
    }
    return [...applied, ...deleted];
  }

  /** Applies those changes that are newer than the known ones. */
  #applyNewer(changes: readonly FleetChange[]): FleetChange[] {
    const applied: FleetChange[] = [];
    for (const change of changes) {
      const isNewer = this.#entries.isNewer(change);
      if (isNewer) {
        this.#entries.put(change);
        applied.push(change);
      }
      // Peers may not know what the store holds; changes of previous epochs reach them as retained.
      const isShared = this.#entries.isLatest(change)
        ? epochOf(change) === this.epoch
        : this.#entries.recordShadowed(change);
      if (isShared) {
        this.#history.add(change);
      }
    }
    return applied;
  }

  /** @param changes - known changes, some of which may be after the position */
  #advance(position: StorePosition, changes: readonly StorePosition[]): void {
    this.position = laterOf(this.position, position);
    for (const change of changes) {
      if (!isAfter(change, this.position)) {
        this.lastChange = laterOf(this.lastChange, positionOf(change));
      }
    }
  }

  #deltaHead(after: StorePosition): Omit<FleetDelta, 'changes'> {
    const { epoch, revision } = this;
    const lastChange = this.lastChange.revision;
    return {
      afterEpoch: epochOf(after),
      afterRevision: after.revision,
      epoch,
      revision,
      lastChange,
    };
  }

  #notifyListeners(previous: StorePosition, changes: readonly FleetChange[]): void {
    if (this.epoch > epochOf(previous) && previous.revision > 0) {
      const retained = this.retained.map(({ key }) => key);
      const { missing } = this.#entries;
      for (const listener of this.#restoreListeners) {
        listener({ previous, position: this.position, retained, missing });
      }
    }
    this.#notifyChanges(changes);
  }

  #notifyChanges(changes: readonly FleetChange[]): void {
    if (changes.length > 0) {
      for (const listener of this.#changeListeners) {
        listener(changes);
      }
    }
  }
}
