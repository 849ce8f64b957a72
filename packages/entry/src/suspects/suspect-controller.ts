import { RESPONSES_TO_CLEAR, SuspectTable } from '@ferrylock/routing';
import type { SuspectReport } from '@ferrylock/routing';
import type { Clock, Random } from '@ferrylock/utils';
import type { FleetStore } from '../fleet/fleet-store.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { EventLog } from '../events.js';
import type { FingerprintedRequest } from './request-fingerprint.js';
import { fingerprintPrefix, requestFingerprint } from './request-fingerprint.js';
import { SuspectRecordStore, TRIAL_AFTER_MILLISECONDS } from './suspect-record-store.js';
import type { TargetCrash } from './target-crash-detector.js';

/**
 * Shortest time between two messages that are sent out of turn. Until other hosts know, each may send a request
 * on that ends a target: ten ended in 0.7 s where hosts of three regions were asked for one.
 */
const LEAST_BETWEEN_URGENT_MILLISECONDS = 100;

const MILLISECONDS_PER_SECOND = 1_000;
/** Longest that a request waits for the store's word whether it may be the one that is tried. */
const CLAIM_MILLISECONDS = 300;

export interface SuspectControllerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: FleetStore;
  readonly view: FleetView;
  /** How many entry hosts there are. */
  readonly hosts: () => number;
  /** Place of this host among all in the order in which they write about a request; 0 for the first. */
  readonly writeOrderOf: (fingerprint: string) => number;
  readonly events: EventLog;
  /** There is news that others should not wait for. */
  readonly onUpdate: (source: UpdateSource) => void;
}

/** Whether news is of this host's own requests. */
export type UpdateSource = 'own' | 'heard';

/**
 * Turns requests away under which targets end one after the other, wherever they come: one host alone sees too
 * few of them. What hosts saw travels with the reports between them.
 */
export class SuspectController {
  readonly table: SuspectTable;
  readonly #options: SuspectControllerOptions;
  readonly #records: SuspectRecordStore;
  /** Requests that are tried by this host. */
  readonly #tried = new Set<string>();
  /** Requests whose trial was granted to this host after the one that asked had been turned away. */
  readonly #granted = new Set<string>();
  /** Suspects that there is a line about. */
  readonly #logged = new Set<string>();
  #toldAt = -Infinity;

  constructor(options: SuspectControllerOptions) {
    this.#options = options;
    this.table = new SuspectTable(options.clock);
    this.#records = new SuspectRecordStore({ ...options, table: this.table });
  }

  /** The fingerprint of a request that was at a target when it ended; undefined for all others. */
  findFingerprint(request: FingerprintedRequest): string | undefined {
    if (this.table.size === 0 || !this.table.hasPrefix(fingerprintPrefix(request))) {
      return undefined;
    }
    const fingerprint = requestFingerprint(request);
    return this.table.has(fingerprint) ? fingerprint : undefined;
  }

  /** Whether a request may be sent to a target now. A suspect may once, at one host of the whole fleet. */
  async mayRun(fingerprint: string): Promise<boolean> {
    if (!this.table.isSuspect(fingerprint)) {
      return true;
    }
    this.table.recordArrival(fingerprint);
    const mayTry = this.#granted.delete(fingerprint) || (await this.#mayTry(fingerprint));
    if (mayTry) {
      this.#tried.add(fingerprint);
    }
    return mayTry;
  }

  /** When a suspect may be asked for again with some hope, in seconds; undefined where there is none. */
  retryAfterSeconds(fingerprint: string): number | undefined {
    return this.#records.mayTry(fingerprint)
      ? TRIAL_AFTER_MILLISECONDS / MILLISECONDS_PER_SECOND
      : undefined;
  }

  /** A target ended that had requests of this host. */
  recordCrash({ target, requests }: TargetCrash): void {
    const news = requests.filter(({ fingerprint }) => this.table.recordCrash(fingerprint, target));
    if (news.length > 0) {
      this.#logNewSuspects();
      this.#tellSoon('own');
    }
  }

  /** A target ran a request to its answer. */
  recordAnswer(fingerprint: string): void {
    const answers = this.#tried.delete(fingerprint) ? RESPONSES_TO_CLEAR : 1;
    if (this.table.recordResponse(fingerprint, answers)) {
      this.#tellSoon('own');
    }
  }

  /** A target that was seen to end answers. */
  recordAlive(target: string): void {
    this.table.recordAlive(target);
  }

  /** Takes what another host tells. */
  merge(told: readonly SuspectReport[]): void {
    if (this.table.merge(told)) {
      this.#logNewSuspects();
      this.#tellSoon('heard');
    }
  }

  /** To be called a few times a second. */
  sweep(): void {
    this.table.sweep();
    this.#records.sweep();
    this.#logNewSuspects();
  }

  async #mayTry(fingerprint: string): Promise<boolean> {
    let isWaiting = true;
    const claim = this.#records.claimTrial(fingerprint).then((isWon) => {
      if (isWon && !isWaiting) {
        this.#granted.add(fingerprint);
      }
      return isWon;
    });
    const isWon = await Promise.race([
      claim,
      this.#options.clock.sleep(CLAIM_MILLISECONDS).then(() => false),
    ]);
    isWaiting = false;
    return isWon;
  }

  #logNewSuspects(): void {
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

  #tellSoon(source: UpdateSource): void {
    const now = this.#options.clock.now();
    if (now - this.#toldAt >= LEAST_BETWEEN_URGENT_MILLISECONDS) {
      this.#toldAt = now;
      this.#options.onUpdate(source);
    }
  }
}
