import { RESPONSES_TO_CLEAR, SuspectTable } from '@ferrylock/routing';
import type { SuspectReport } from '@ferrylock/routing';
import type { Clock, Random } from '@ferrylock/utils';
import type { FleetStore } from '../fleet/fleet-store.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { EventLog } from '../event-log.js';
import type { FingerprintedRequest } from './request-fingerprint.js';
import { fingerprintPrefix, requestFingerprint } from './request-fingerprint.js';
import { SuspectRecordStore, TRIAL_AFTER_MILLISECONDS } from './suspect-record-store.js';
import type { TargetCrash } from './target-crash-detector.js';

/**
 * Minimum interval between two immediate reports to peers. Until other hosts know of a crash, each
 * may send the request on to another target.
 */
const MIN_UPDATE_INTERVAL_MILLISECONDS = 100;

const MILLISECONDS_PER_SECOND = 1_000;
/** Maximum time that a request waits for the store to grant its trial. */
const CLAIM_TIMEOUT_MILLISECONDS = 300;

export interface SuspectControllerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: FleetStore;
  readonly view: FleetView;
  /** Returns the number of entry hosts. */
  readonly hosts: () => number;
  /** Position of this host in the order in which hosts rewrite a record, starting with 0. */
  readonly writeOrderOf: (fingerprint: string) => number;
  readonly events: EventLog;
  /** Called when peers should get a report immediately. */
  readonly onUpdate: (source: UpdateSource) => void;
}

/** Origin of an update: this host's own requests, or reports of peers. */
export type UpdateSource = 'own' | 'heard';

/**
 * Refuses requests that repeatedly crash targets ("queries of death"). Since one host alone sees
 * too few crashes, hosts share them in their reports.
 */
export class SuspectController {
  readonly table: SuspectTable;
  readonly #options: SuspectControllerOptions;
  readonly #records: SuspectRecordStore;
  /** Requests that this host is running as a trial. */
  readonly #trials = new Set<string>();
  /** Requests whose trial was granted only after the claiming request had been refused. */
  readonly #granted = new Set<string>();
  /** Suspects that have been logged. */
  readonly #logged = new Set<string>();
  #notifiedAt = -Infinity;

  constructor(options: SuspectControllerOptions) {
    this.#options = options;
    this.table = new SuspectTable(options.clock);
    this.#records = new SuspectRecordStore({ ...options, table: this.table });
  }

  /** Returns the fingerprint of a request that a target had when it crashed, else undefined. */
  findFingerprint(request: FingerprintedRequest): string | undefined {
    if (this.table.size === 0 || !this.table.hasPrefix(fingerprintPrefix(request))) {
      return undefined;
    }
    const fingerprint = requestFingerprint(request);
    return this.table.has(fingerprint) ? fingerprint : undefined;
  }

  /**
   * Checks whether a request may be sent to a target; a suspect may once, at one host of the fleet.
   */
  async mayRun(fingerprint: string): Promise<boolean> {
    if (!this.table.isSuspect(fingerprint)) {
      return true;
    }
    this.table.recordArrival(fingerprint);
    const mayTry = this.#granted.delete(fingerprint) || (await this.#claimTrial(fingerprint));
    if (mayTry) {
      this.#trials.add(fingerprint);
    }
    return mayTry;
  }

  /** Delay after which a suspect may get a trial; undefined if none is left. */
  retryAfterSeconds(fingerprint: string): number | undefined {
    return this.#records.mayTry(fingerprint)
      ? TRIAL_AFTER_MILLISECONDS / MILLISECONDS_PER_SECOND
      : undefined;
  }

  /** Records the crash of a target that had requests of this host. */
  recordCrash({ target, requests }: TargetCrash): void {
    const changed = requests.filter(({ fingerprint }) =>
      this.table.recordCrash(fingerprint, target),
    );
    if (changed.length > 0) {
      this.#logSuspectChanges();
      this.#notifyPeers('own');
    }
  }

  /** Records a target's complete response to a request. */
  recordAnswer(fingerprint: string): void {
    const responses = this.#trials.delete(fingerprint) ? RESPONSES_TO_CLEAR : 1;
    if (this.table.recordResponse(fingerprint, responses)) {
      this.#notifyPeers('own');
    }
  }

  /** Records that a target considered to be crashed is alive. */
  recordAlive(target: string): void {
    this.table.recordAlive(target);
  }

  /** Merges the report of another host. */
  merge(reports: readonly SuspectReport[]): void {
    if (this.table.merge(reports)) {
      this.#logSuspectChanges();
      this.#notifyPeers('heard');
    }
  }

  /** Expires entries and updates the records in the store; call a few times per second. */
  sweep(): void {
    this.table.sweep();
    this.#records.sweep();
    this.#logSuspectChanges();
  }

  async #claimTrial(fingerprint: string): Promise<boolean> {
    let isWaiting = true;
    const claim = this.#records.claimTrial(fingerprint).then((isWon) => {
      if (isWon && !isWaiting) {
        this.#granted.add(fingerprint);
      }
      return isWon;
    });
    const isWon = await Promise.race([
      claim,
      this.#options.clock.sleep(CLAIM_TIMEOUT_MILLISECONDS).then(() => false),
    ]);
    isWaiting = false;
    return isWon;
  }

  #logSuspectChanges(): void {
    const suspects = new Set(this.table.suspects);
    for (const fingerprint of this.#logged) {
      if (!suspects.has(fingerprint)) {
        this.#logged.delete(fingerprint);
        this.#options.events.write({
          event: 'suspect',
          fingerprint,
          state: 'cleared',
          targets: [],
        });
      }
    }
    for (const fingerprint of suspects) {
      if (!this.#logged.has(fingerprint)) {
        this.#logged.add(fingerprint);
        const targets = this.table.crashesOf(fingerprint);
        this.#options.events.write({ event: 'suspect', fingerprint, state: 'suspected', targets });
      }
    }
  }

  #notifyPeers(source: UpdateSource): void {
    const now = this.#options.clock.now();
    if (now - this.#notifiedAt >= MIN_UPDATE_INTERVAL_MILLISECONDS) {
      this.#notifiedAt = now;
      this.#options.onUpdate(source);
    }
  }
}
