import type { FleetChange } from './fleet-record.js';

/** Changes between two store positions. */
export interface FleetDelta {
  readonly afterEpoch?: number | undefined;
  readonly afterRevision: number;
  readonly epoch?: number | undefined;
  readonly revision: number;
  /** Revision of the newest change that the sender knows; it may not be among `changes`. */
  readonly lastChange?: number | undefined;
  readonly changes: readonly FleetChange[];
  /** Records of previous epochs that the sender retains. */
  readonly kept?: readonly FleetChange[] | undefined;
}
