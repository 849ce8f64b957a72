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

/**
 * A registration that lasts only while it is renewed. Its number is of one life of the store: after a return from a copy it may be
 * another host's.
 */
export interface HostLease {
  readonly id: number;
  readonly milliseconds: number;
  /** What is recorded under it, and the revision that it was written at. */
  readonly key: string;
  readonly revision: number;
  /** How often the store had come back, as it told with the last answer about the lease. */
  readonly epoch?: number | undefined;
}

/** What a write depends on and how long what it writes lasts. */
export interface SuspectWrite {
  /** Revision of the record that it replaces; 0 where there is to be none. The write is refused where it is another. */
  readonly revision: number;
  /** How often the store had come back from a copy when it was at this revision; absent where that does not matter. */
  readonly epoch?: number;
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
  /** @returns the lease, with the life of the store that renewed it */
  renew(lease: HostLease): Promise<Result<HostLease, FleetStoreFailure>>;
  /** The lease as the store has it now, or undefined where it does not hold this start of the host under it. */
  findLease(
    host: EntryHostRecord,
    lease: HostLease,
  ): Promise<Result<HostLease | undefined, FleetStoreFailure>>;
  /** Writes about a request under which targets ended, if nobody else has meanwhile. */
  writeSuspect(
    suspect: SuspectRecord,
    write: SuspectWrite,
  ): Promise<Result<void, FleetStoreFailure>>;
  /** Takes the registration away, if it stands as it was written. The lease, which may be another's by now, runs out. */
  release(lease: HostLease): Promise<Result<void, FleetStoreFailure>>;
}
