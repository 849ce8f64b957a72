import type { FleetChange } from './fleet-record.js';

/** Changes that lead from one position to another. */
export interface FleetDelta {
  readonly afterEpoch?: number | undefined;
  readonly afterRevision: number;
  readonly epoch?: number | undefined;
  readonly revision: number;
  /** Revision of the newest change that whoever tells it knows, where that may be none of these. */
  readonly lastChange?: number | undefined;
  readonly changes: readonly FleetChange[];
  /** What is known beyond the store's present life. */
  readonly kept?: readonly FleetChange[] | undefined;
}
