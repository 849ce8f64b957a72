import type { Result } from 'ts-results-es';
import type { SuspectRecord } from './suspect-record.js';
import type { EntryHostRecord, FleetChange } from './fleet-record.js';

/**
 * A call to the store that brought no result. `not-done`: it had no effect. `unknown`: it may have
 * had one, or may yet. `history-lost`: the changes asked for are no longer kept. `lease-over`: the
 * lease has ended.
 */
export interface FleetStoreFailure {
  readonly kind: 'not-done' | 'unknown' | 'history-lost' | 'lease-over';
  readonly message: string;
  /** Which of its lives the store answered in; absent where it does not tell, or did not answer. */
  readonly epoch?: number | undefined;
}

/** All that the store holds, or what has changed in it, up to a revision. */
export interface FleetChanges {
  /** How often the store has come back from a copy of itself, with revisions of former times; absent where it does not tell. */
  readonly epoch?: number | undefined;
  readonly changes: readonly FleetChange[];
  readonly revision: number;
}

/** A registration that lasts only while it is renewed. */
export interface HostLease {
  readonly id: number;
  readonly milliseconds: number;
}

/** What a write depends on and how long what it writes lasts. */
export interface SuspectWrite {
  /** Revision of the record that it replaces; 0 where there is to be none. The write is refused where it is another. */
  readonly revision: number;
  readonly leaseMilliseconds: number;
}

/** The platform's store, as much of it as an entry host uses. */
export interface FleetStore {
  /** Everything that it holds. Changes after the revision may or may not be in it. */
  list(): Promise<Result<FleetChanges, FleetStoreFailure>>;
  /** Changes after a revision, as soon as there are any, or none after the wait. */
  waitForChanges(
    afterRevision: number,
    waitMilliseconds: number,
  ): Promise<Result<FleetChanges, FleetStoreFailure>>;
  /** Makes an entry host known for as long as the lease lasts. */
  register(
    host: EntryHostRecord,
    leaseMilliseconds: number,
  ): Promise<Result<HostLease, FleetStoreFailure>>;
  renew(lease: HostLease): Promise<Result<void, FleetStoreFailure>>;
  /** Writes about a request under which targets ended, if nobody else has meanwhile. */
  writeSuspect(
    suspect: SuspectRecord,
    write: SuspectWrite,
  ): Promise<Result<void, FleetStoreFailure>>;
  /** Ends a lease, and with it the registration. */
  release(lease: HostLease): Promise<Result<void, FleetStoreFailure>>;
}
