import type { StorePosition } from './store-position.js';

/** A restore of the store from a snapshot, as this host learned of it. */
export interface StoreRestore {
  /** Last known position of the previous epoch. */
  readonly previous: StorePosition;
  readonly position: StorePosition;
  /** Keys whose known record is newer than what the store holds. */
  readonly retained: readonly string[];
  /** Retained keys that the store no longer holds. */
  readonly missing: readonly string[];
}
