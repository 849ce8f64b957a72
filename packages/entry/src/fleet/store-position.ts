/**
 * How far the store has come: which of its lives, and the revision in it. A store that comes back from a copy of itself
 * counts its revisions from the copy's and gives numbers out again, so that a revision alone orders nothing beyond one life.
 */
export interface StorePosition {
  /** Rises with each return from a copy, by {@link epochFromReported}; absent, as 0, before the store tells of any. */
  readonly epoch?: number | undefined;
  readonly revision: number;
}

/** Before anything is known. */
export const NO_POSITION: StorePosition = { epoch: 0, revision: 0 };

/** Returns that the store does not tell of, between two that it does. */
const EPOCHS_PER_REPORTED_EPOCH = 1_000;

/** The number that hosts go by for a number of returns that the store tells: it leaves room for those that it does not tell of. */
export function epochFromReported(told: number): number {
  return told * EPOCHS_PER_REPORTED_EPOCH;
}

/** The returns that the store told of, as of an epoch. */
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

/** A position without anything else that carries it. */
export function positionOf({ epoch = 0, revision }: StorePosition) {
  return { epoch, revision };
}
