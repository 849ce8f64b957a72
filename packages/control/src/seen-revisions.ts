import type { StoreListing, StoreRevisions } from '@ferrylock/platform';

/**
 * Revisions of keys as they were seen last, by which a store that was put back from a backup is known again. Its id may be the
 * same, and its revision may have passed the one that was seen: then revisions are given out again. Each key that was written
 * in the store's life before stands at another revision now, at one that had been seen long ago, or not at all.
 */
export class SeenRevisions {
  #storeId = '';
  /** Every change up to this revision was seen. */
  #upTo = 0;
  readonly #revisions = new Map<string, number>();

  get upTo(): number {
    return this.#upTo;
  }

  /** Takes a listing over as what was seen. */
  replace({ storeId, revision, revisions }: StoreRevisions): void {
    this.#storeId = storeId;
    this.#upTo = revision;
    this.#revisions.clear();
    for (const [key, written] of revisions) {
      this.#revisions.set(key, written);
    }
  }

  /** A change of a key was seen, in the order of revisions. */
  record(key: string, revision: number): void {
    this.#upTo = Math.max(this.#upTo, revision);
    this.#revisions.set(key, revision);
  }

  /** Whether a store goes on from what was seen, so that what is new of it stands at later revisions alone. */
  isContinuedBy({ storeId, revision, revisions }: StoreRevisions): boolean {
    if (storeId !== this.#storeId || revision < this.#upTo) {
      return false;
    }
    const isOverwritten = [...revisions].some(
      ([key, written]) => written <= this.#upTo && written !== this.#revisions.get(key),
    );
    return !isOverwritten && [...this.#revisions.keys()].every((key) => revisions.has(key));
  }
}

/** The revisions of what a listing holds. */
export function revisionsOf({ values, ...state }: StoreListing): StoreRevisions {
  return { ...state, revisions: new Map(values.map(({ key, revision }) => [key, revision])) };
}
