import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../events.js';

/** Whether the store answers this entry host, and since when. */
export class StoreHealth {
  /** When it last began to answer after a fault; infinite while it does not answer. */
  availableSince = -Infinity;
  /** When the store last answered this host itself. */
  lastResponseAt = -Infinity;
  #lostAt: number | undefined;

  constructor(
    readonly clock: Clock,
    readonly events: EventLog,
  ) {}

  get isUnavailable(): boolean {
    return this.#lostAt !== undefined;
  }

  /**
   * The store answered this host.
   *
   * @param at - when it gave the answer
   */
  recordSuccess(at: number): void {
    this.lastResponseAt = Math.max(this.lastResponseAt, at);
    if (this.#lostAt !== undefined) {
      this.#regain(this.#lostAt);
    }
  }

  /**
   * Others were answered, the last of them at this time. A host that leaves the watching to others
   * makes no call of its own by which it could notice.
   */
  recordConfirmation(confirmedAt: number): void {
    if (this.#lostAt !== undefined && confirmedAt > this.#lostAt) {
      this.#regain(this.#lostAt);
    }
  }

  /** The store came back from a copy; targets write again what it had lost of them. */
  recordRestore(): void {
    if (!this.isUnavailable) {
      this.availableSince = this.clock.now();
    }
  }

  recordFailure(call: string, detail: string): void {
    if (this.#lostAt !== undefined) {
      return;
    }
    this.#lostAt = this.clock.now();
    this.availableSince = Infinity;
    this.events.write({ event: 'store-lost', call, detail });
  }

  #regain(lostAt: number): void {
    const now = this.clock.now();
    this.events.write({ event: 'store-regained', lostMilliseconds: Math.round(now - lostAt) });
    this.#lostAt = undefined;
    this.availableSince = now;
  }
}
