import type { Clock } from '@ferrylock/utils';

/** Time for which hosts count after they are no longer registered; leases lapse while the store fails. */
const REMEMBERED_MILLISECONDS = 30_000;
/** Time after its start in which a host has no part; hosts whose lease lapsed register again within it. */
const NEW_HOST_MILLISECONDS = 6_000;

/** Requests of this host's callers, and what it hears of the whole fleet. */
export interface FleetRates {
  /** Requests per second of this host's callers. */
  readonly own: number;
  /** Requests per second of all hosts that are heard, this one included. */
  readonly heard: number;
  /** Number of hosts that are heard, this one included. */
  readonly heardHosts: number;
}

/** A former number of registered hosts. */
interface FormerCount {
  readonly count: number;
  readonly until: number;
}

/**
 * Part that this host has of what is allowed to the whole fleet: by the requests of its callers,
 * so that it is where callers are. Hosts that are registered and not heard keep their parts.
 */
export class HostShare {
  readonly #createdAt: number;
  #registered = 1;
  #former: FormerCount[] = [];

  constructor(readonly clock: Clock) {
    this.#createdAt = clock.now();
  }

  /** Largest number of hosts that were registered lately. */
  get hosts(): number {
    const now = this.clock.now();
    this.#former = this.#former.filter(({ until }) => until > now);
    return Math.max(this.#registered, ...this.#former.map(({ count }) => count));
  }

  /** @param count - registered hosts, this one included */
  recordRegistered(count: number): void {
    if (count < this.#registered) {
      const until = this.clock.now() + REMEMBERED_MILLISECONDS;
      this.#former.push({ count: this.#registered, until });
    }
    this.#registered = count;
  }

  /**
   * Returns the part for one service, from 0 to 1. It is equal for all hosts while reports do not tell
   * the rates.
   */
  of({ own, heard, heardHosts }: FleetRates): number {
    if (this.clock.now() - this.#createdAt < NEW_HOST_MILLISECONDS) {
      return 0;
    }
    const heardShare = Math.min(1, heardHosts / this.hosts);
    const isKnown = heard > 0 && heard >= own;
    return heardShare * (isKnown ? own / heard : 1 / heardHosts);
  }
}
