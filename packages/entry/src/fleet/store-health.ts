import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../event-log.js';
import { STALE_BELIEF_MILLISECONDS } from './stale-belief.js';

/**
 * Time without any sign of the store after which a failed call means that it was away. One watch
 * that is cut, and the pause after it, leave less.
 */
const ABSENCE_MILLISECONDS = STALE_BELIEF_MILLISECONDS;
/** The same where no call failed, as the store may only have been silent. */
const SILENCE_MILLISECONDS = 2_500;
/**
 * Time within which live targets register again after the store has become available: two seconds
 * by contract, plus a margin. A host that was partitioned must drop vanished targets within three
 * seconds, of which detecting that the store is back takes up to 0.9.
 */
const REGISTRATION_MILLISECONDS = 2_100;

/** Time during which the store may have lost records that their writers write again. */
export interface StoreAbsence {
  /** Monotonic time of the last sign of the store before it was away. */
  readonly since: number;
  /** When all records are written again; infinite while the store is away. */
  readonly until: number;
}

/**
 * Availability of the store as this entry host sees it. One failed call proves little: the store may
 * turn this host away, or end one call. It was away if nobody was answered for a while.
 */
export class StoreHealth {
  /** When the store last responded to this host. */
  lastResponseAt = -Infinity;
  #unavailableSince: number | undefined;
  /** Newest time at which the store is known to have answered any host. */
  #presentAt = -Infinity;
  /** When this host learned of it. */
  #noticedAt = -Infinity;
  #lastAbsence: StoreAbsence | undefined;

  constructor(
    readonly clock: Clock,
    readonly events: EventLog,
  ) {}

  /** Whether calls of this host fail and no other host is known to have been answered since. */
  get isUnavailable(): boolean {
    return this.#unavailableSince !== undefined;
  }

  /** The present or latest absence of the store; undefined if there was none. */
  get absence(): StoreAbsence | undefined {
    return this.#wasAway(this.clock.now())
      ? { since: this.#absentSince, until: Infinity }
      : this.#lastAbsence;
  }

  /** @param at - when the store responded to this host */
  recordSuccess(at: number): void {
    this.lastResponseAt = Math.max(this.lastResponseAt, at);
    this.#recordPresence(at);
    if (this.#unavailableSince !== undefined) {
      this.#recordRecovery(this.#unavailableSince);
    }
  }

  /**
   * Records that the store responded to another host. A host that does not watch the store makes no
   * calls of its own that would show that the store is available again.
   */
  recordConfirmation(confirmedAt: number): void {
    this.#recordPresence(confirmedAt);
    if (this.#unavailableSince !== undefined && confirmedAt > this.#unavailableSince) {
      this.#recordRecovery(this.#unavailableSince);
    }
  }

  /** Records a restore of the store, after which targets rewrite their lost records. */
  recordRestore(): void {
    this.#lastAbsence = {
      since: this.#absentSince,
      until: this.clock.now() + REGISTRATION_MILLISECONDS,
    };
  }

  recordFailure(call: string, detail: string): void {
    if (this.#unavailableSince !== undefined) {
      return;
    }
    this.#unavailableSince = this.clock.now();
    this.events.write({ event: 'store-lost', call, detail });
  }

  #recordPresence(at: number): void {
    if (at <= this.#presentAt) {
      return;
    }
    const now = this.clock.now();
    if (this.#wasAway(at)) {
      this.#lastAbsence = { since: this.#absentSince, until: now + REGISTRATION_MILLISECONDS };
    }
    this.#presentAt = at;
    this.#noticedAt = now;
  }

  /** Whether the store was away between the newest sign of it and a time. */
  #wasAway(at: number): boolean {
    const gap = at - this.#presentAt;
    const threshold = this.isUnavailable ? ABSENCE_MILLISECONDS : SILENCE_MILLISECONDS;
    return Number.isFinite(this.#presentAt) && gap >= threshold;
  }

  /** Start of an absence that follows the newest sign; one before it may not have ended for targets. */
  get #absentSince(): number {
    const former = this.#lastAbsence;
    return former !== undefined && this.#noticedAt <= former.until ? former.since : this.#noticedAt;
  }

  #recordRecovery(unavailableSince: number): void {
    this.events.write({
      event: 'store-regained',
      lostMilliseconds: Math.round(this.clock.now() - unavailableSince),
    });
    this.#unavailableSince = undefined;
  }
}
