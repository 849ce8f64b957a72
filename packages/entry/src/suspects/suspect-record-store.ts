import { RESPONSES_TO_CLEAR } from '@ferrylock/routing';
import type { SuspectTable } from '@ferrylock/routing';
import type { BackgroundTasks, Clock, Random } from '@ferrylock/utils';
import { createTasks } from '../create-tasks.js';
import type { EventLog } from '../event-log.js';
import type { FleetChange } from '../fleet/fleet-record.js';
import type { FleetStore } from '../fleet/fleet-store.js';
import type { FleetView } from '../fleet/fleet-view.js';
import { reportedEpochOf } from '../fleet/store-position.js';
import type { SuspectRecord, SuspectState } from '../fleet/suspect-record.js';

/** Maximum lease of the store; a suspect that is no longer requested expires with it. */
const LEASE_MILLISECONDS = 600_000;
/** Age from which the record of a request that still arrives is renewed. */
const RENEWAL_AGE_MILLISECONDS = 420_000;
/** Lease of a cleared record; all hosts know of it long before. */
const CLEARED_LEASE_MILLISECONDS = 60_000;
/**
 * Jitter per host before a write, equal to the sweep interval: usually one host writes and the
 * others see it in time.
 */
const WRITE_JITTER_MILLISECONDS = 200;
/**
 * Interval between the turns of two hosts to rewrite a record that a store restored from a snapshot
 * lacks; in this time the second host sees the write of the first.
 */
const TURN_MILLISECONDS = 400;
/** Maximum number of suspect records in the store. */
const MAX_RECORDS = 256;
/**
 * Delay between the last crash under a request and its trial. Earlier, crashes caused by other
 * requests could be attributed to it.
 */
export const TRIAL_AFTER_MILLISECONDS = 2_000;

/** Minimum interval between two claims of this host for one request. */
const MIN_CLAIM_INTERVAL_MILLISECONDS = 2_000;

export interface SuspectRecordStoreOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly store: FleetStore;
  readonly view: FleetView;
  readonly table: SuspectTable;
  /** Returns the number of entry hosts. */
  readonly hosts: () => number;
  /** Position of this host in the order in which hosts rewrite a record, starting with 0. */
  readonly writeOrderOf: (fingerprint: string) => number;
}

/** A record as last observed. */
interface ObservedRecord extends SuspectRecord {
  /** Key in the store; undefined before the record exists. */
  readonly key: string | undefined;
  /** True if the record does not exist, or was deleted. */
  isDeleted: boolean;
  readonly observedAt: number;
}

/**
 * Persists suspects in the store, so that they survive a restart of all hosts, and grants each
 * suspect one trial in the whole fleet. All writes are compare-and-swap operations, so of several
 * hosts only one writes and only one gets the trial.
 */
export class SuspectRecordStore {
  readonly #options: SuspectRecordStoreOptions;
  readonly #tasks: BackgroundTasks;
  readonly #observed = new Map<string, ObservedRecord>();
  readonly #fingerprintOfKey = new Map<string, string>();
  /** Monotonic times at which this host writes a record unless another host does so before. */
  readonly #dueAt = new Map<string, number>();
  readonly #writing = new Set<string>();
  /** Monotonic times of this host's last claim of a trial. */
  readonly #claimedAt = new Map<string, number>();

  constructor(options: SuspectRecordStoreOptions) {
    this.#options = options;
    this.#tasks = createTasks(options);
    options.view.onChanges((changes) => {
      for (const change of changes) {
        this.#applyChange(change);
      }
    });
  }

  /** Checks whether the trial of a request is still available. */
  mayTry(fingerprint: string): boolean {
    return this.#observed.get(fingerprint)?.state !== 'tried';
  }

  /** Claims the only trial of a request; false unless the store confirms it. */
  async claimTrial(fingerprint: string): Promise<boolean> {
    const { clock, table } = this.#options;
    const observed = this.#observed.get(fingerprint);
    const now = clock.now();
    const isDue = now - table.lastCrashAt(fingerprint) >= TRIAL_AFTER_MILLISECONDS;
    const claimedAt = this.#claimedAt.get(fingerprint) ?? -Infinity;
    const mayClaim = now - claimedAt >= MIN_CLAIM_INTERVAL_MILLISECONDS;
    if (observed?.state !== 'suspected' || observed.isDeleted || !isDue || !mayClaim) {
      return false;
    }
    this.#claimedAt.set(fingerprint, now);
    return this.#write(observed, 'tried');
  }

  /** Creates, renews and clears records as needed; call a few times per second. */
  sweep(): void {
    for (const observed of this.#observed.values()) {
      this.#sweepObserved(observed);
    }
    for (const fingerprint of this.#options.table.suspects) {
      const hasCapacity = this.#observed.size + this.#writing.size < MAX_RECORDS;
      if (hasCapacity && this.#needsRecord(fingerprint)) {
        this.#writeWhenDue(fingerprint, 'suspected');
      }
    }
  }

  /**
   * Checks whether to write a record; one that has expired is rewritten only if its request still
   * arrives.
   */
  #needsRecord(fingerprint: string): boolean {
    const record = this.#observed.get(fingerprint);
    if (record === undefined || record.state === 'cleared') {
      return true;
    }
    return record.isDeleted && this.#options.table.lastActivityAt(fingerprint) > record.observedAt;
  }

  #sweepObserved(observed: ObservedRecord): void {
    const { clock, table, view, writeOrderOf } = this.#options;
    const { fingerprint, state, observedAt, key = '', isDeleted } = observed;
    if (isDeleted && !table.isSuspect(fingerprint)) {
      this.#observed.delete(fingerprint);
      this.#dueAt.delete(fingerprint);
      this.#claimedAt.delete(fingerprint);
    }
    if (view.isRetained(key)) {
      // The store was restored from a snapshot that lacks the record or has an older state of it.
      this.#writeWhenDue(fingerprint, state, writeOrderOf(fingerprint) * TURN_MILLISECONDS);
    }
    if (state === 'cleared' || isDeleted) {
      return;
    }
    this.#mergeIntoTable(observed);
    const isCleared = table.has(fingerprint) && table.crashesOf(fingerprint).length === 0;
    const isRenewalDue = clock.now() - observedAt > RENEWAL_AGE_MILLISECONDS;
    const isActive = table.lastActivityAt(fingerprint) > observedAt;
    if (isCleared) {
      this.#writeWhenDue(fingerprint, 'cleared');
    } else if (isRenewalDue && isActive) {
      this.#writeWhenDue(fingerprint, state);
    }
  }

  /** Merges a record into the table with the age of its last write. */
  #mergeIntoTable({ fingerprint, targets, state, observedAt }: ObservedRecord): void {
    const responses = state === 'cleared' ? RESPONSES_TO_CLEAR : 0;
    const ageMilliseconds = this.#options.clock.now() - observedAt;
    const crashes = targets.map((target) => ({ target, ageMilliseconds, responses }));
    this.#options.table.merge([{ fingerprint, crashes }]);
  }

  #applyChange({ key, record }: FleetChange): void {
    const fingerprint = this.#fingerprintOfKey.get(key) ?? '';
    const observed = this.#observed.get(fingerprint);
    if (record?.kind === 'suspect') {
      const { suspect } = record;
      this.#fingerprintOfKey.set(key, suspect.fingerprint);
      const observedRecord = {
        ...suspect,
        key,
        isDeleted: false,
        observedAt: this.#options.clock.now(),
      };
      this.#observed.set(suspect.fingerprint, observedRecord);
      this.#dueAt.delete(suspect.fingerprint);
      this.#mergeIntoTable(observedRecord);
      if (suspect.state === 'cleared') {
        // Clears crashes as well that were unknown when the record was cleared.
        this.#options.table.recordResponse(suspect.fingerprint, RESPONSES_TO_CLEAR);
      }
    } else if (record === undefined && observed !== undefined) {
      this.#fingerprintOfKey.delete(key);
      observed.isDeleted = true;
    }
  }

  /** @param waitMilliseconds - delay until this host's turn; random by default */
  #writeWhenDue(fingerprint: string, state: SuspectState, waitMilliseconds?: number): void {
    const { clock, random, table, hosts } = this.#options;
    if (this.#writing.has(fingerprint)) {
      return;
    }
    const now = clock.now();
    const dueAt = this.#dueAt.get(fingerprint);
    if (dueAt === undefined) {
      const spread = WRITE_JITTER_MILLISECONDS * hosts();
      this.#dueAt.set(fingerprint, now + (waitMilliseconds ?? spread * random.next()));
    } else if (now >= dueAt) {
      this.#dueAt.delete(fingerprint);
      const observed = this.#observed.get(fingerprint);
      const isTried = observed?.state === 'tried' && state === 'suspected';
      const targets = table.crashesOf(fingerprint);
      const unknown = {
        fingerprint,
        targets,
        state,
        key: undefined,
        isDeleted: true,
        observedAt: now,
      };
      const previous = observed ?? unknown;
      const isNewSuspect = previous.state === 'cleared' || previous.targets.length === 0;
      const from = isNewSuspect ? { ...previous, targets } : previous;
      this.#tasks.run('suspect record', () => this.#write(from, isTried ? 'tried' : state));
    }
  }

  async #write(from: ObservedRecord, state: SuspectState): Promise<boolean> {
    const { store, events, view } = this.#options;
    const { fingerprint, targets, key = '' } = from;
    if (this.#writing.has(fingerprint)) {
      return false;
    }
    this.#writing.add(fingerprint);
    const leaseMilliseconds = state === 'cleared' ? CLEARED_LEASE_MILLISECONDS : LEASE_MILLISECONDS;
    const suspect = { fingerprint, targets, state };
    const revision = view.storedRevision(key);
    const epoch = reportedEpochOf(view.epoch);
    const written = await store
      .writeSuspect(suspect, { revision, epoch, leaseMilliseconds })
      .finally(() => this.#writing.delete(fingerprint));
    events.write({
      event: 'suspect-record',
      fingerprint,
      state,
      isWritten: written.isOk(),
      detail: written.isOk() ? '' : written.error.message,
    });
    return written.isOk();
  }
}
