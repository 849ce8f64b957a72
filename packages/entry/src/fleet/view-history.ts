import type { FleetChange } from './fleet-record.js';
import type { StorePosition } from './store-position.js';
import { epochOf, isAfter, laterOf, NO_POSITION, positionOf } from './store-position.js';

const MAX_CHANGES = 2_000;
const MAX_PREVIOUS_EPOCHS = 4;

/** Positions of an epoch that the history covers. */
interface EpochRange {
  readonly start: StorePosition;
  readonly end: StorePosition;
}

/**
 * Latest change of each key that changed recently, from which deltas for other hosts are made. A
 * change of a previous epoch is kept beside the key's change of the next one: it may be retained.
 */
export class ViewHistory {
  /** By epoch and key, in the order in which they were added. */
  readonly #changes = new Map<string, FleetChange>();
  /** Position after which the history is complete. */
  #after: StorePosition = NO_POSITION;
  /** Start of the current epoch in the history; earlier changes of it are not known one by one. */
  #start: StorePosition = NO_POSITION;
  /** Known ranges of previous epochs, by epoch. */
  readonly #previous = new Map<number, EpochRange>();

  /** Adds a change in place of older ones of its key, which no host needs any more. */
  add(change: FleetChange): void {
    const id = `${epochOf(change)} ${change.key}`;
    const known = this.#changes.get(id);
    const isSuperseded = known !== undefined && isAfter(known, change);
    if (isSuperseded || !isAfter(change, this.#after)) {
      return;
    }
    this.#changes.delete(id);
    this.#changes.set(id, change);
    for (const [oldestId, oldest] of this.#changes) {
      if (this.#changes.size <= MAX_CHANGES) {
        return;
      }
      this.#changes.delete(oldestId);
      this.#after = laterOf(this.#after, positionOf(oldest));
    }
  }

  /** Discards everything up to a position. */
  reset(after: StorePosition): void {
    this.#changes.clear();
    this.#after = after;
    this.#start = after;
    this.#previous.clear();
  }

  /** Starts the current epoch at a position. */
  beginEpoch(at: StorePosition): void {
    this.#start = at;
  }

  /** Ends an epoch at a position; the changes that follow are the differences of the next epoch. */
  endEpoch(at: StorePosition): void {
    this.#previous.set(epochOf(at), { start: this.#start, end: at });
    if (this.#previous.size > MAX_PREVIOUS_EPOCHS) {
      this.#previous.delete(this.#previous.keys().next().value ?? 0);
    }
  }

  /**
   * Changes after a position, or undefined if the history does not cover it. It does not cover
   * positions of a previous epoch beyond what was known here: those hosts may hold records that no
   * change here would delete.
   *
   * @param epoch - the current epoch
   */
  since(position: StorePosition, epoch: number): FleetChange[] | undefined {
    const range =
      epochOf(position) === epoch
        ? { start: this.#start, end: position }
        : this.#previous.get(epochOf(position));
    const isCovered =
      range !== undefined && !isAfter(range.start, position) && !isAfter(position, range.end);
    if (!isCovered || isAfter(this.#after, position)) {
      return undefined;
    }
    return [...this.#changes.values()].filter((change) => isAfter(change, position));
  }
}
