import type { StoreListing, StoreRevisions } from '@ferrylock/platform';

/**
 * Last seen revisions of keys, which reveal that a store was restored from a backup. A restored
 * store may have the same id and a later revision, as it reuses revisions; keys written after the
 * backup then have a different revision or are missing.
 */
export class SeenRevisions {
  #storeId = '';
  /** Revision up to which all changes were seen. */
  #upTo = 0;
  readonly #revisions = new Map<string, number>();

  get upTo(): number {
    return this.#upTo;
  }

  /** Replaces the seen revisions by those of a listing. */
  replace({ storeId, revision, revisions }: StoreRevisions): void {
    this.#storeId = storeId;
    this.#upTo = revision;
    this.#revisions.clear();
    for (const [key, written] of revisions) {
      this.#revisions.set(key, written);
    }
  }

  /** Records a change of a key; changes come in the order of revisions. */
  record(key: string, revision: number): void {
    this.#upTo = Math.max(this.#upTo, revision);
    this.#revisions.set(key, revision);
  }

  /** Checks if a store continues the seen history, so that only later revisions are new. */
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

/** Extracts the revisions of a listing. */
export function revisionsOf({ values, ...state }: StoreListing): StoreRevisions {
  return { ...state, revisions: new Map(values.map(({ key, revision }) => [key, revision])) };
}
