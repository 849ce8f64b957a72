import type { KeyValueStore, StoreListing } from '@ferrylock/platform';
import type { Clock, Logger } from '@ferrylock/utils';
import type { Member } from '../membership/member.js';
import { revisionsOf, SeenRevisions } from '../seen-revisions.js';
import type { LimitRegister } from './limit-register.js';
import type { Position, PositionLayout } from './position-layout.js';
import { groupOf, listPositions, positionLayoutSchema } from './position-layout.js';
import type { PositionRecord, StoredPosition } from './position-record.js';
import { LAYOUT_KEY, positionKey, positionPrefix, readPositions } from './position-record.js';

export interface PositionStoreOptions {
  /** Layout from the settings; one in the store takes precedence. */
  readonly layout: PositionLayout;
  readonly store: KeyValueStore;
  readonly register: LimitRegister;
  readonly self: () => Member;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Result of one read of the records. */
export interface PositionReading {
  readonly positions: readonly StoredPosition[];
  /** Clock time before the read was sent. */
  readonly requestedAt: number;
  readonly storeId: string;
}

/** Accesses the records of a group's positions in the platform's key-value service. */
export class PositionStore {
  readonly #options: PositionStoreOptions;
  #layout: PositionLayout;
  #layoutKnown = false;
  #group: readonly Position[] = [];
  readonly #seen = new SeenRevisions();
  #hasRead = false;
  /** Revision up to which records are uncertain after a restore of the store. */
  #uncertainUpTo = 0;

  constructor(options: PositionStoreOptions) {
    this.#options = options;
    this.#layout = options.layout;
    this.#use(options.layout);
  }

  /** Number of positions in the group. */
  get groupSize(): number {
    return this.#group.length;
  }

  /** Checks if a member belongs to the same position group as this daemon. */
  isInGroup(member: Member): boolean {
    return groupOf(this.#layout, member) === groupOf(this.#layout, this.#options.self());
  }

  /** Reads the group's records; undefined if the store is unavailable. */
  async read(): Promise<PositionReading | undefined> {
    if (!(await this.#ensureLayout())) {
      return undefined;
    }
    const requestedAt = this.#options.clock.now();
    const prefix = positionPrefix(groupOf(this.#layout, this.#options.self()));
    const listing = await this.#options.store.list(prefix);
    if (listing.isErr()) {
      return undefined;
    }
    this.#detectRestore(listing.value);
    return {
      positions: readPositions(this.#group, listing.value, this.#uncertainUpTo),
      storeId: listing.value.storeId,
      requestedAt,
    };
  }

  /** Detects a restore under the same store id, after which existing records may be outdated. */
  #detectRestore(listing: StoreListing): void {
    const present = revisionsOf(listing);
    if (this.#hasRead && !this.#seen.isContinuedBy(present)) {
      const { storeId, revision } = listing;
      this.#uncertainUpTo = revision;
      this.#options.logger.warn('store was restored; position records are uncertain', {
        storeId,
        revision,
      });
    }
    this.#hasRead = true;
    this.#seen.replace(present);
  }

  /** Writes a record if unchanged since it was read; returns true if the write is confirmed. */
  async write(position: StoredPosition, record: PositionRecord): Promise<boolean> {
    const swap = await this.#options.store.compareAndSwap({
      key: positionKey(position.position),
      expectedRevision: position.revision,
      value: JSON.stringify(record),
    });
    return swap.isOk() && swap.value.swapped;
  }

  /** Writes the layout if the store has none, or else adopts the stored one. */
  async #ensureLayout(): Promise<boolean> {
    if (this.#layoutKnown) {
      return true;
    }
    const { store, layout, logger } = this.#options;
    const swap = await store.compareAndSwap({
      key: LAYOUT_KEY,
      expectedRevision: 0,
      value: JSON.stringify(layout),
    });
    if (swap.isErr()) {
      return false;
    }
    if (!swap.value.swapped) {
      const stored = positionLayoutSchema.parse(JSON.parse(swap.value.current?.value ?? ''));
      if (JSON.stringify(stored) !== JSON.stringify(layout)) {
        logger.error('layout in the store differs from the settings; the store wins', { stored });
      }
      this.#use(stored);
    }
    this.#layoutKnown = true;
    return true;
  }

  #use(layout: PositionLayout): void {
    const positions = listPositions(layout);
    const group = groupOf(layout, this.#options.self());
    this.#layout = layout;
    this.#group = positions.filter((position) => position.group === group);
    this.#options.register.setPositions(positions);
  }
}
