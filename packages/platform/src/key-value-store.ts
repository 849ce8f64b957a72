import type { Result } from 'ts-results-es';

/** A value with the store revision that wrote it last. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/**
 * A call that brought no answer. For a write, `mayHaveTakenEffect` says whether the store may hold
 * it all the same: only a read-back tells.
 */
export interface StoreFailure {
  readonly message: string;
  readonly mayHaveTakenEffect: boolean;
  /** Set where a watch asked for revisions that the store no longer keeps. */
  readonly compacted?: boolean;
}

/** The outcome of a compare-and-swap that the store answered. */
export type SwapOutcome =
  | { readonly swapped: true; readonly revision: number }
  | { readonly swapped: false; readonly current: StoredValue | undefined };

export interface Swap {
  readonly key: string;
  /** The revision the key must have; 0 where it must not exist. */
  readonly expectedRevision: number;
  readonly value: string;
  /** Values written in the same transaction without a condition of their own. */
  readonly alongside?: readonly { readonly key: string; readonly value: string }[];
}

/** A change seen by a watch; a deleted key has no value. */
export interface StoreEvent {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** Which store it is, and how far it has come. */
export interface StoreState {
  /** Another one after the store was put back from a backup, unless its members were set up as they had been. */
  readonly storeId: string;
  readonly revision: number;
}

export interface StoreListing extends StoreState {
  readonly values: readonly StoredValue[];
}

/** Which revision wrote each key last. */
export interface StoreRevisions extends StoreState {
  readonly revisions: ReadonlyMap<string, number>;
}

export interface WatchOptions {
  readonly prefix: string;
  /** The first revision of interest: one past that of the listing before it. */
  readonly fromRevision: number;
  readonly signal: AbortSignal;
  readonly onEvents: (events: readonly StoreEvent[]) => void;
}

/** The platform's key-value service, as much of it as is used. */
export interface KeyValueStore {
  get(key: string): Promise<Result<StoredValue | undefined, StoreFailure>>;
  list(prefix: string): Promise<Result<StoreListing, StoreFailure>>;
  /** As {@link list}, without the values. */
  revisions(prefix: string): Promise<Result<StoreRevisions, StoreFailure>>;
  /** The store's present state: a cheap sign that it answers. */
  state(): Promise<Result<StoreState, StoreFailure>>;
  compareAndSwap(swap: Swap): Promise<Result<SwapOutcome, StoreFailure>>;
  /** Runs until the signal aborts or the watch is cut; the failure says which cut it was. */
  watch(options: WatchOptions): Promise<StoreFailure>;
}
