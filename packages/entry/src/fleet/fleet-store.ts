import type { Result } from 'ts-results-es';
import type { SuspectRecord } from './suspect-record.js';
import type { EntryHostRecord, FleetChange } from './fleet-record.js';

/**
 * A failed call to the store. `not-done`: it had no effect. `unknown`: it may have or may still
 * take effect. `history-lost`: the requested changes have been compacted. `lease-over`: the lease
 * has expired.
 */
export interface FleetStoreFailure {
  readonly kind: 'not-done' | 'unknown' | 'history-lost' | 'lease-over';
  readonly message: string;
  /** Epoch that the store reported; absent if it reported none or did not respond. */
  readonly epoch?: number | undefined;
}

/** A listing of the store, or its changes, up to a revision. */
export interface FleetChanges {
  /** Epoch as the store reports it: its number of restores; absent if it reports none. */
  readonly epoch?: number | undefined;
  readonly changes: readonly FleetChange[];
  readonly revision: number;
}

/**
 * A registration that expires unless it is renewed. Its id is valid in one epoch of the store:
 * after a restore it may belong to another host.
 */
export interface HostLease {
  readonly id: number;
  readonly milliseconds: number;
  readonly key: string;
  /** Revision at which the key was written. */
  readonly revision: number;
  /** Epoch that the store reported in its last response about the lease. */
  readonly epoch?: number | undefined;
}

/** Precondition and lease of a write. */
export interface SuspectWrite {
  /** Revision that the key must be at, or 0 if it must not exist. */
  readonly revision: number;
  /** Reported epoch that the revision belongs to; absent if it is not checked. */
  readonly epoch?: number;
  readonly leaseMilliseconds: number;
}

/** Operations of the platform's store that an entry host uses. */
export interface FleetStore {
  /** Lists all keys. The listing may include changes after its revision. */
  list(): Promise<Result<FleetChanges, FleetStoreFailure>>;
  /** Waits for changes after a revision; resolves without changes after the timeout. */
  waitForChanges(
    afterRevision: number,
    waitMilliseconds: number,
  ): Promise<Result<FleetChanges, FleetStoreFailure>>;
  /** Registers an entry host under a new lease. */
  register(
    host: EntryHostRecord,
    leaseMilliseconds: number,
  ): Promise<Result<HostLease, FleetStoreFailure>>;
  /** @returns the lease with the epoch in which it was renewed */
  renew(lease: HostLease): Promise<Result<HostLease, FleetStoreFailure>>;
  /** Looks up the lease; undefined if this incarnation of the host is not registered under it. */
  findLease(
    host: EntryHostRecord,
    lease: HostLease,
  ): Promise<Result<HostLease | undefined, FleetStoreFailure>>;
  /** Writes a suspect record, unless another host has written it in the meantime. */
  writeSuspect(
    suspect: SuspectRecord,
    write: SuspectWrite,
  ): Promise<Result<void, FleetStoreFailure>>;
  /** Deletes an unchanged registration; the lease is left to expire, as its id may be reused. */
  release(lease: HostLease): Promise<Result<void, FleetStoreFailure>>;
}
