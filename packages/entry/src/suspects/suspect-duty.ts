import { SuspectTable } from '@ferrylock/routing';
import type { ToldSuspect } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { FingerprintedRequest } from './request-fingerprint.js';
import { fingerprintHead, requestFingerprint } from './request-fingerprint.js';
import type { TargetEnd } from './target-ends.js';

/**
 * Shortest time between two messages that are sent out of turn. Until other hosts know, each may send a request
 * on that ends a target: ten ended in 0.7 s where hosts of three regions were asked for one.
 */
const LEAST_BETWEEN_URGENT_MILLISECONDS = 100;

export interface SuspectDutyOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** There is news that others should not wait for. */
  readonly onNews: (source: NewsSource) => void;
}

/** Whether news is of this host's own requests. */
export type NewsSource = 'own' | 'heard';

/**
 * Turns requests away under which targets end one after the other, wherever they come: one host alone sees too
 * few of them. What hosts saw travels with the reports between them.
 */
export class SuspectDuty {
  readonly table: SuspectTable;
  readonly #options: SuspectDutyOptions;
  /** Suspects that there is a line about. */
  readonly #logged = new Set<string>();
  #toldAt = -Infinity;

  constructor(options: SuspectDutyOptions) {
    this.#options = options;
    this.table = new SuspectTable(options.clock);
  }

  /** The fingerprint of a request that was at a target when it ended; undefined for all others. */
  find(request: FingerprintedRequest): string | undefined {
    if (this.table.size === 0 || !this.table.hasHead(fingerprintHead(request))) {
      return undefined;
    }
    const fingerprint = requestFingerprint(request);
    return this.table.has(fingerprint) ? fingerprint : undefined;
  }

  /** Whether a request may be sent to a target now. */
  mayRun(fingerprint: string): boolean {
    if (!this.table.isSuspect(fingerprint)) {
      return true;
    }
    this.table.recordAsked(fingerprint);
    return false;
  }

  /** A target ended that had requests of this host. */
  recordEnd({ target, requests }: TargetEnd): void {
    const news = requests.filter(({ fingerprint }) => this.table.recordEnd(fingerprint, target));
    if (news.length > 0) {
      this.#logNewSuspects();
      this.#tellSoon('own');
    }
  }

  /** A target ran a request to its answer. */
  recordAnswer(fingerprint: string): void {
    if (this.table.recordAnswer(fingerprint)) {
      this.#tellSoon('own');
    }
  }

  /** A target that was seen to end answers. */
  recordLife(target: string): void {
    this.table.recordLife(target);
  }

  /** Takes what another host tells. */
  take(told: readonly ToldSuspect[]): void {
    if (this.table.take(told)) {
      this.#logNewSuspects();
      this.#tellSoon('heard');
    }
  }

  /** To be called a few times a second. */
  sweep(): void {
    this.table.sweep();
    this.#logNewSuspects();
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
        const targets = this.table.endsOf(fingerprint);
        this.#options.events.write({ event: 'suspect', fingerprint, state: 'suspected', targets });
      }
    }
  }

  #tellSoon(source: NewsSource): void {
    const now = this.#options.clock.now();
    if (now - this.#toldAt >= LEAST_BETWEEN_URGENT_MILLISECONDS) {
      this.#toldAt = now;
      this.#options.onNews(source);
    }
  }
}
