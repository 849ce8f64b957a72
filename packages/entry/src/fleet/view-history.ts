import type { FleetChange } from './fleet-record.js';
import type { StorePosition } from './store-position.js';
import { epochOf, isAfter, NO_POSITION } from './store-position.js';

/** Changes that are kept to be handed to other entry hosts. */
const MAX_CHANGES = 2_000;
/** Returns of the store of which it is kept how far its life before had been known. */
const MAX_PREVIOUS_EPOCHS = 4;

interface EpochRange {
  readonly entered: StorePosition;
  readonly end: StorePosition;
}

/** The latest changes in their order, by which hosts that know less are told only what they lack. */
export class ViewHistory {
  readonly #changes: FleetChange[] = [];
  /** It reaches back to the changes after this. */
  #after: StorePosition = NO_POSITION;
  /** Where the present life was entered; what came in it before is known as a whole alone, not change by change. */
  #entered: StorePosition = NO_POSITION;
  /** Former lives of the store: where they were entered, and how far they were known when the next one was learned of. */
  readonly #former = new Map<number, EpochRange>();

  add(changes: readonly FleetChange[]): void {
    this.#changes.push(...changes);
    while (this.#changes.length > MAX_CHANGES) {
      this.#after = this.#changes.shift() ?? this.#after;
    }
  }

  /** Nothing before a position is kept any more. */
  reset(after: StorePosition): void {
    this.#changes.length = 0;
    this.#after = after;
    this.#entered = after;
    this.#former.clear();
  }

  /** The present life was entered at a position. */
  beginEpoch(at: StorePosition): void {
    this.#entered = at;
  }

  /** The store's life ended for this host at a position. What follows is what the next one differs in. */
  endEpoch(at: StorePosition): void {
    this.#former.set(epochOf(at), { entered: this.#entered, end: at });
    if (this.#former.size > MAX_PREVIOUS_EPOCHS) {
      this.#former.delete(this.#former.keys().next().value ?? 0);
    }
  }

  /**
   * What came after a position, or undefined where that is no longer kept. Who knows more of a former life than was known
   * here may hold what the next life lacks, and nothing here would take it back.
   *
   * @param epoch - the present life
   */
  since(position: StorePosition, epoch: number): FleetChange[] | undefined {
    const life =
      epochOf(position) === epoch
        ? { entered: this.#entered, end: position }
        : this.#former.get(epochOf(position));
    const isCovered =
      life !== undefined && !isAfter(life.entered, position) && !isAfter(position, life.end);
    if (!isCovered || isAfter(this.#after, position)) {
      return undefined;
    }
    return this.#changes.filter((change) => isAfter(change, position));
  }
}
