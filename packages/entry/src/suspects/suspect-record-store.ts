import { RESPONSES_TO_CLEAR } from '@ferrylock/routing';
import type { SuspectTable } from '@ferrylock/routing';
import type { Clock, Random } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { FleetChange } from '../fleet/fleet-record.js';
import type { FleetStore } from '../fleet/fleet-store.js';
import type { FleetView } from '../fleet/fleet-view.js';
import { reportedEpochOf } from '../fleet/store-position.js';
import type { SuspectRecord, SuspectState } from '../fleet/suspect-record.js';

/** The longest that the store grants. A request that is asked for no more is forgotten after it. */
const LEASE_MILLISECONDS = 600_000;
/** Age from which a record is written anew whose request is still asked for. */
const RENEWED_MILLISECONDS = 420_000;
/** That a request is cleared is known everywhere long before. */
const CLEARED_LEASE_MILLISECONDS = 60_000;
/**
 * Spread of the time until a host writes what is to be written, for each host of the fleet: the time between two
 * sweeps, so that one writes mostly, and the others see that it has.
 */
const WRITE_SPREAD_MILLISECONDS = 200;
/**
 * Between the turns of two hosts to write again what a store that came back from a copy lacks: the time in which the second sees that the
 * first has written. Four turns pass within two seconds.
 */
const TURN_MILLISECONDS = 400;
/** Records that the store is to hold at most, some 200 bytes each, however many requests end targets. */
const MOST_RECORDS = 256;
/**
 * From the last end under a request until it is let run once more. Until then others may still end targets that it is
 * sent to, and a request that was at a few of them by chance would stay out for their sake.
 */
export const TRIAL_AFTER_MILLISECONDS = 2_000;

/** Time between two claims of this host about one request: a store that refuses is not asked at each call of it. */
const CLAIM_PAUSE_MILLISECONDS = 2_000;

export interface SuspectRecordStoreOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly store: FleetStore;
  readonly view: FleetView;
  readonly table: SuspectTable;
  /** How many entry hosts there are. */
  readonly hosts: () => number;
  /** Place of this host among all in the order in which they write about a request; 0 for the first. */
  readonly writeOrderOf: (fingerprint: string) => number;
}

/** A record as it was seen last. */
interface HeldRecord extends SuspectRecord {
  /** Its key; undefined before there is a record. */
  readonly key: string | undefined;
  /** Whether there is no record, or none any more. */
  isGone: boolean;
  readonly seenAt: number;
}

/**
 * Keeps suspects in the store, so that hosts know them that start after all have lost their power, and has the
 * whole fleet let each run once more. Every write holds only for the state that it was decided by: of several
 * hosts one writes, and one alone tries, whatever else they fail to know of one another.
 */
export class SuspectRecordStore {
  readonly #options: SuspectRecordStoreOptions;
  readonly #held = new Map<string, HeldRecord>();
  readonly #fingerprintOfKey = new Map<string, string>();
  /** When this host writes about a request, unless another does before. */
  readonly #dueAt = new Map<string, number>();
  readonly #writing = new Set<string>();
  /** When this host last claimed a trial. */
  readonly #claimedAt = new Map<string, number>();

  constructor(options: SuspectRecordStoreOptions) {
    this.#options = options;
    options.view.onChanges((changes) => {
      for (const change of changes) {
        this.#take(change);
      }
    });
  }

  /** Whether a request has not been let run once more yet, so that it may be. */
  mayTry(fingerprint: string): boolean {
    return this.#held.get(fingerprint)?.state !== 'tried';
  }

  /** Claims the one trial of a request for this host; false where that is not certain. */
  async claimTrial(fingerprint: string): Promise<boolean> {
    const { clock, table } = this.#options;
    const held = this.#held.get(fingerprint);
    const now = clock.now();
    const isOver = now - table.lastCrashAt(fingerprint) >= TRIAL_AFTER_MILLISECONDS;
    const claimedAt = this.#claimedAt.get(fingerprint) ?? -Infinity;
    const isFirst = now - claimedAt >= CLAIM_PAUSE_MILLISECONDS;
    if (held?.state !== 'suspected' || held.isGone || !isOver || !isFirst) {
      return false;
    }
    this.#claimedAt.set(fingerprint, now);
    return this.#write(held, 'tried');
  }

  /** To be called a few times a second. */
  sweep(): void {
    for (const held of this.#held.values()) {
      this.#sweepHeld(held);
    }
    for (const fingerprint of this.#options.table.suspects) {
      const hasRoom = this.#held.size + this.#writing.size < MOST_RECORDS;
      if (hasRoom && this.#isToBeRecorded(fingerprint)) {
        this.#writeWhenDue(fingerprint, 'suspected');
      }
    }
  }

  /** A record that has gone comes back only where the request was asked for since: else it is over. */
  #isToBeRecorded(fingerprint: string): boolean {
    const held = this.#held.get(fingerprint);
    if (held === undefined || held.state === 'cleared') {
      return true;
    }
    return held.isGone && this.#options.table.lastActivityAt(fingerprint) > held.seenAt;
  }

  #sweepHeld(held: HeldRecord): void {
    const { clock, table, view, writeOrderOf: turnOf } = this.#options;
    const { fingerprint, state, seenAt, key = '', isGone } = held;
    if (isGone && !table.isSuspect(fingerprint)) {
      this.#held.delete(fingerprint);
      this.#dueAt.delete(fingerprint);
      this.#claimedAt.delete(fingerprint);
    }
    if (view.isRetained(key)) {
      // The store came back from a copy that lacks it, or has an older state of it.
      this.#writeWhenDue(fingerprint, state, turnOf(fingerprint) * TURN_MILLISECONDS);
    }
    if (state === 'cleared' || isGone) {
      return;
    }
    this.#teach(held);
    const isAnswered = table.has(fingerprint) && table.crashesOf(fingerprint).length === 0;
    const isOld = clock.now() - seenAt > RENEWED_MILLISECONDS;
    const isAskedFor = table.lastActivityAt(fingerprint) > seenAt;
    if (isAnswered) {
      this.#writeWhenDue(fingerprint, 'cleared');
    } else if (isOld && isAskedFor) {
      this.#writeWhenDue(fingerprint, state);
    }
  }

  /** Has the table know what a record says, as of when it was written last. */
  #teach({ fingerprint, targets, state, seenAt }: HeldRecord): void {
    const answers = state === 'cleared' ? RESPONSES_TO_CLEAR : 0;
    const ageMilliseconds = this.#options.clock.now() - seenAt;
    const ends = targets.map((target) => ({ target, ageMilliseconds, responses: answers }));
    this.#options.table.merge([{ fingerprint, crashes: ends }]);
  }

  #take({ key, record }: FleetChange): void {
    const fingerprint = this.#fingerprintOfKey.get(key) ?? '';
    const held = this.#held.get(fingerprint);
    if (record?.kind === 'suspect') {
      const { suspect } = record;
      this.#fingerprintOfKey.set(key, suspect.fingerprint);
      const seen = { ...suspect, key, isGone: false, seenAt: this.#options.clock.now() };
      this.#held.set(suspect.fingerprint, seen);
      this.#dueAt.delete(suspect.fingerprint);
      this.#teach(seen);
      if (suspect.state === 'cleared') {
        // Also what ended meanwhile, of which whoever cleared it did not know.
        this.#options.table.recordResponse(suspect.fingerprint, RESPONSES_TO_CLEAR);
      }
    } else if (record === undefined && held !== undefined) {
      this.#fingerprintOfKey.delete(key);
      held.isGone = true;
    }
  }

  /** @param waitMilliseconds - until its turn; by chance where it is not given */
  #writeWhenDue(fingerprint: string, state: SuspectState, waitMilliseconds?: number): void {
    const { clock, random, table, hosts } = this.#options;
    if (this.#writing.has(fingerprint)) {
      return;
    }
    const now = clock.now();
    const dueAt = this.#dueAt.get(fingerprint);
    if (dueAt === undefined) {
      const spread = WRITE_SPREAD_MILLISECONDS * hosts();
      this.#dueAt.set(fingerprint, now + (waitMilliseconds ?? spread * random.next()));
    } else if (now >= dueAt) {
      this.#dueAt.delete(fingerprint);
      const held = this.#held.get(fingerprint);
      const isTried = held?.state === 'tried' && state === 'suspected';
      const targets = table.crashesOf(fingerprint);
      const unknown = { fingerprint, targets, state, key: undefined, isGone: true, seenAt: now };
      const former = held ?? unknown;
      const isNew = former.state === 'cleared' || former.targets.length === 0;
      void this.#write(isNew ? { ...former, targets } : former, isTried ? 'tried' : state);
    }
  }

  async #write(from: HeldRecord, state: SuspectState): Promise<boolean> {
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
    const written = await store.writeSuspect(suspect, { revision, epoch, leaseMilliseconds });
    this.#writing.delete(fingerprint);
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
