import type { DisabledMechanisms } from '@ferrylock/routing';
import { NO_DISABLED_MECHANISMS } from '@ferrylock/routing';
import type { FleetDelta } from './fleet-delta.js';
import type { FleetChange, FleetRecord } from './fleet-record.js';
import type { StorePosition } from './store-position.js';
import { epochOf, isAfter, laterOf, NO_POSITION, positionOf } from './store-position.js';
import type { StoreRestore } from './store-restore.js';
import { ViewEntries } from './view-entries.js';
import { ViewHistory } from './view-history.js';

export type FleetListener = (changes: readonly FleetChange[]) => void;

/**
 * What this entry host believes that the store holds: every key's latest change, up to a position. It never goes back, whatever order news
 * comes in and from whom.
 */
export class FleetView {
  /** Every change up to this position is known. */
  position: StorePosition = NO_POSITION;
  /**
   * The newest change that is known. Unlike {@link position} it stands still while the store counts on without a
   * change, so that hosts can compare it.
   */
  lastChange: StorePosition = NO_POSITION;
  /** When the store is known to have held nothing newer, in monotonic milliseconds. */
  confirmedAt = -Infinity;
  readonly #entries: ViewEntries;
  readonly #history = new ViewHistory();
  readonly #listeners: FleetListener[] = [];
  readonly #returnListeners: ((returned: StoreRestore) => void)[] = [];

  /** @param leftOut - mechanisms to do without, to compare with */
  constructor(leftOut: DisabledMechanisms = NO_DISABLED_MECHANISMS) {
    this.#entries = new ViewEntries(!leftOut.has('kept-records'));
  }

  get revision(): number {
    return this.position.revision;
  }

  get epoch(): number {
    return epochOf(this.position);
  }

  get isEmpty(): boolean {
    return this.revision === 0;
  }

  /** Everything held, without what is gone. */
  get entries(): FleetChange[] {
    return this.#entries.present;
  }

  /** What is known beyond what the store holds since it came back from a copy. */
  get retained(): FleetChange[] {
    return this.#entries.retained;
  }

  /** Names what is kept, for hosts to see whether they keep the same; undefined where nothing is. */
  get retainedDigest(): string | undefined {
    return this.#entries.retainedDigest;
  }

  /** Whether all that is known is what the store holds, so that there is nothing to {@link reconcile}. */
  get isReconciled(): boolean {
    return this.#entries.isReconciled;
  }

  /** Everything of a kind; the same array while nothing of the kind changes. */
  records<Kind extends FleetRecord['kind']>(
    kind: Kind,
  ): readonly Extract<FleetRecord, { kind: Kind }>[] {
    return this.#entries.records(kind);
  }

  /** Revision of a key in the store's present life, as far as is known; 0 where it holds none. */
  storedRevision(key: string): number {
    return this.#entries.storedRevision(key);
  }

  /** Whether more is known of a key than the store holds. */
  isRetained(key: string): boolean {
    return this.#entries.isRetained(key);
  }

  /** Calls back after each step forward, with the changes that were new. */
  onChanges(listener: FleetListener): void {
    this.#listeners.push(listener);
  }

  /** Calls back when it is learned that the store came back from a copy, before the changes that this brings. */
  onRestore(listener: (returned: StoreRestore) => void): void {
    this.#returnListeners.push(listener);
  }

  /** The store, or who heard from it, had no newer change than this one at this time. */
  confirm(lastChange: StorePosition, at: number): void {
    const isOfThisLife = epochOf(lastChange) === epochOf(this.lastChange);
    if (isOfThisLife && !isAfter(this.lastChange, lastChange)) {
      this.confirmedAt = Math.max(this.confirmedAt, at);
    }
  }

  /** Takes changes on. Those after a position that is not reached yet are refused with false. */
  apply(delta: FleetDelta): boolean {
    const { afterEpoch, afterRevision, epoch, revision, lastChange = 0 } = delta;
    if (isAfter({ epoch: afterEpoch, revision: afterRevision }, this.position)) {
      return false;
    }
    const former = this.position;
    const upTo = positionOf({ epoch, revision });
    const isReturn = epochOf(upTo) > this.epoch;
    const news = this.#takeByLives(delta, upTo);
    if (isReturn) {
      this.#history.beginEpoch(upTo);
    }
    this.#advance(upTo, { epoch: epochOf(upTo), revision: lastChange });
    this.#tell(former, news);
    return true;
  }

  /**
   * Takes a whole listing on: keys that it lacks are gone, unless they are newer than it.
   *
   * @returns whether it was; an older one brings only what is newer by its own numbers
   */
  replace(position: StorePosition, entries: readonly FleetChange[]): boolean {
    const former = this.position;
    if (isAfter(former, position)) {
      const newer = entries.filter((change) => this.#entries.hasNewerVersion(change));
      this.#tell(former, this.#take(newer));
      return false;
    }
    const isReturn = !this.isEmpty && epochOf(position) > this.epoch;
    const news = isReturn
      ? this.#takeReturn(position, entries)
      : this.#takeListing(position, entries);
    this.#advance(positionOf(position), { epoch: epochOf(position), revision: 0 });
    this.#tell(former, news);
    return true;
  }

  /** What leads from a position to the present one, or undefined where that is no longer kept. */
  deltaSince(position: StorePosition): FleetDelta | undefined {
    const changes = this.#history.since(position, this.epoch);
    return changes && { ...this.#deltaHead(position), changes, kept: this.retained };
  }

  /** Everything, for who knows nothing that it could be told by. */
  snapshot(): FleetDelta {
    const words = this.#entries.shadowed.map((change) => ({ ...change, isListed: true }));
    return { ...this.#deltaHead(NO_POSITION), changes: [...this.entries, ...words] };
  }

  /** Ends the time after the store's return in which others write again what it had lost. */
  reconcile(): void {
    this.#notify(this.#entries.reconcile());
  }

  /** Each life of the store in turn: what is new of one, then what the next differs in. Of one that is over, only what is newer by itself. */
  #takeByLives({ changes, kept = [] }: FleetDelta, upTo: StorePosition): FleetChange[] {
    if (this.isEmpty) {
      this.#entries.beginEpoch(epochOf(upTo), new Set());
    }
    if (this.isEmpty || epochOf(upTo) === this.epoch) {
      return this.#take([...changes, ...kept]);
    }
    if (epochOf(upTo) < this.epoch) {
      return this.#take(changes.filter((change) => this.#entries.hasNewerVersion(change)));
    }
    const lives = new Set([...changes.map(epochOf), epochOf(upTo)]);
    const news = [...lives]
      .sort((one, other) => one - other)
      .flatMap((life) => {
        const ofLife = changes.filter((change) => epochOf(change) === life);
        if (life > this.epoch) {
          this.#beginLife(life, ofLife);
        }
        return this.#take(ofLife);
      });
    return [...news, ...this.#take(kept)];
  }

  #beginLife(epoch: number, changes: readonly FleetChange[]): void {
    this.#history.endEpoch(this.position);
    this.#entries.beginEpoch(epoch, new Set(changes.map(({ key }) => key)));
    this.position = { epoch, revision: 0 };
    this.lastChange = { epoch, revision: 0 };
  }

  /** Takes the first listing of the store's next life on, or what another host knows of it. */
  #takeReturn(position: StorePosition, entries: readonly FleetChange[]): FleetChange[] {
    const { epoch, revision } = positionOf(position);
    const listed = entries.filter((change) => epochOf(change) === epoch);
    const keptElsewhere = entries.filter((change) => epochOf(change) < epoch);
    const keys = new Set(listed.map(({ key }) => key));
    const changed = listed
      .filter((change) => !this.#entries.isUnchanged(change))
      .map((change) => ({ ...change, isListed: true }));
    const held = new Set([...this.entries, ...this.#entries.shadowed].map(({ key }) => key));
    const missing = [...held]
      .filter((key) => !keys.has(key))
      .map((key) => ({ key, epoch, revision, isListed: true }));
    const difference = [...changed, ...missing].sort((one, other) => one.revision - other.revision);
    this.#beginLife(epoch, difference);
    this.#history.beginEpoch(position);
    this.lastChange = positionOf(position);
    return [...this.#take(difference), ...this.#take(keptElsewhere)];
  }

  /** Takes a listing of the life on that is known already. */
  #takeListing(position: StorePosition, entries: readonly FleetChange[]): FleetChange[] {
    const { epoch, revision } = positionOf(position);
    if (this.isEmpty) {
      this.#entries.beginEpoch(epoch, new Set());
    }
    const ofThisLife = entries.filter((change) => epochOf(change) === epoch);
    const listed = new Set(ofThisLife.map(({ key }) => key));
    this.#entries.dropShadowed(listed);
    const gone = this.entries
      .filter((change) => !this.#entries.isFromPreviousEpoch(change))
      .filter(({ record }) => record?.kind !== 'configuration')
      .filter(({ key, revision: changed }) => !listed.has(key) && changed <= revision)
      .map(({ key }) => ({ key, epoch, revision }));
    const news = this.#take(entries);
    for (const change of gone) {
      this.#put(change);
    }
    this.#history.reset(positionOf(position));
    return [...news, ...gone];
  }

  /** Takes over those changes that are news, one after the other. */
  #take(changes: readonly FleetChange[]): FleetChange[] {
    const news: FleetChange[] = [];
    for (const change of changes) {
      const isNews = this.#entries.isNewer(change);
      if (isNews) {
        this.#put(change);
        news.push(change);
      }
      // Others may know less of the key, and are to hear what the store holds. What is of a former life they hear as kept.
      const isTold = isNews ? epochOf(change) === this.epoch : this.#entries.recordShadowed(change);
      if (isTold) {
        this.#history.add([change]);
      }
    }
    return news;
  }

  #put(change: FleetChange): void {
    this.#entries.put(change);
    this.lastChange = laterOf(this.lastChange, positionOf(change));
  }

  #advance(position: StorePosition, lastChange: StorePosition): void {
    this.position = laterOf(this.position, position);
    this.lastChange = laterOf(this.lastChange, lastChange);
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

  #tell(former: StorePosition, news: readonly FleetChange[]): void {
    if (this.epoch > epochOf(former) && former.revision > 0) {
      const kept = this.retained.map(({ key }) => key);
      const { missing } = this.#entries;
      for (const listener of this.#returnListeners) {
        listener({ previous: former, position: this.position, retained: kept, missing });
      }
    }
    this.#notify(news);
  }

  #notify(news: readonly FleetChange[]): void {
    if (news.length > 0) {
      for (const listener of this.#listeners) {
        listener(news);
      }
    }
  }
}
