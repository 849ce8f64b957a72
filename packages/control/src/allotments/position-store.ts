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
  /** The layout by the settings; the one in the store goes before it. */
  readonly layout: PositionLayout;
  readonly store: KeyValueStore;
  readonly register: LimitRegister;
  readonly self: () => Member;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** What one reading of the records showed. */
export interface PositionReading {
  readonly positions: readonly StoredPosition[];
  /** Clock reading from before the records were asked for. */
  readonly askedAt: number;
  readonly storeId: string;
}

/** The records of one group's positions in the platform's key-value service. */
export class PositionStore {
  readonly #options: PositionStoreOptions;
  #layout: PositionLayout;
  #layoutKnown = false;
  #group: readonly Position[] = [];
  readonly #seen = new SeenRevisions();
  #hasRead = false;
  /** Revision up to which records are doubted, since the store was put back. */
  #doubtedUpTo = 0;

  constructor(options: PositionStoreOptions) {
    this.#options = options;
    this.#layout = options.layout;
    this.#use(options.layout);
  }

  /** Number of positions that the group looks after. */
  get groupSize(): number {
    return this.#group.length;
  }

  /** Whether a member looks after the same positions as this daemon. */
  isInGroup(member: Member): boolean {
    return groupOf(this.#layout, member) === groupOf(this.#layout, this.#options.self());
  }

  /** Reads the group's records; undefined while the store cannot be reached. */
  async read(): Promise<PositionReading | undefined> {
    if (!(await this.#learnLayout())) {
      return undefined;
    }
    const askedAt = this.#options.clock.now();
    const prefix = positionPrefix(groupOf(this.#layout, this.#options.self()));
    const listing = await this.#options.store.list(prefix);
    if (listing.isErr()) {
      return undefined;
    }
    this.#notePutBack(listing.value);
    return {
      positions: readPositions(this.#group, listing.value, this.#doubtedUpTo),
      storeId: listing.value.storeId,
      askedAt,
    };
  }

  /** Where the store was put back under the same id, records up to its revision then may be older than what was written. */
  #notePutBack(listing: StoreListing): void {
    const present = revisionsOf(listing);
    if (this.#hasRead && !this.#seen.isContinuedBy(present)) {
      const { storeId, revision } = listing;
      this.#doubtedUpTo = revision;
      this.#options.logger.warn('positions in a store that was put back', { storeId, revision });
    }
    this.#hasRead = true;
    this.#seen.replace(present);
  }

  /** Writes a record if it has not changed since it was read; says whether it surely was written. */
  async write(position: StoredPosition, record: PositionRecord): Promise<boolean> {
    const swap = await this.#options.store.compareAndSwap({
      key: positionKey(position.position),
      expectedRevision: position.revision,
      value: JSON.stringify(record),
    });
    return swap.isOk() && swap.value.swapped;
  }

  /** The first daemon writes the layout; all others work with what stands there. */
  async #learnLayout(): Promise<boolean> {
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
