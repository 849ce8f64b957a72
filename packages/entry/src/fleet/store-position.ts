/**
 * A point in the history of the store. A restore from a snapshot sets the revision back and
 * revisions are assigned again, so they only order changes of the same epoch.
 */
export interface StorePosition {
  /** Increases with each restore, see {@link epochFromReported}; absent means 0. */
  readonly epoch?: number | undefined;
  readonly revision: number;
}

/** Position of a host that knows nothing of the store. */
export const NO_POSITION: StorePosition = { epoch: 0, revision: 0 };

/** Leaves room for restores that the store does not report. */
const EPOCHS_PER_REPORTED_EPOCH = 1_000;

/** Converts the epoch that the store reports into the epoch of a {@link StorePosition}. */
export function epochFromReported(reported: number): number {
  return reported * EPOCHS_PER_REPORTED_EPOCH;
}

/** Reverses {@link epochFromReported}. */
export function reportedEpochOf(epoch: number): number {
  return Math.floor(epoch / EPOCHS_PER_REPORTED_EPOCH);
}

export function epochOf({ epoch = 0 }: StorePosition): number {
  return epoch;
}

export function isAfter(one: StorePosition, other: StorePosition): boolean {
  const [epoch, otherEpoch] = [epochOf(one), epochOf(other)];
  return epoch > otherEpoch || (epoch === otherEpoch && one.revision > other.revision);
}

export function laterOf(one: StorePosition, other: StorePosition): StorePosition {
  return isAfter(other, one) ? other : one;
}

/** Copies the position out of an object with other fields. */
export function positionOf({ epoch = 0, revision }: StorePosition) {
  return { epoch, revision };
}
