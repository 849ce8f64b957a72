import type { StorePosition } from './store-position.js';

/** That the store has come back from a copy, as this host learned it. */
export interface StoreRestore {
  /** How far its life before was known. */
  readonly previous: StorePosition;
  readonly position: StorePosition;
  /** Keys of which more is known than the store holds now. */
  readonly retained: readonly string[];
  /** Of these, keys that the store holds no more. */
  readonly missing: readonly string[];
}
