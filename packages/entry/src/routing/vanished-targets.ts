import type { Clock } from '@ferrylock/utils';
import type { StoreAbsence } from '../fleet/store-health.js';

/** Part of the drain time that is left for hearing of the record's end, and for requests on their way. */
const RESERVE_MILLISECONDS = 800;
/** Upper bound for using a vanished target while the store is not suspected to have lost it. */
const MAX_HOLD_MILLISECONDS = 1_200;
/** The same for targets of which many vanish together: the store may have lost them unnoticed. */
const MASS_RESERVE_MILLISECONDS = 500;
const MAX_MASS_HOLD_MILLISECONDS = 2_100;
/** Share of a service's targets that must vanish together for that. */
const MASS_SHARE = 0.5;
/** Minimum number of targets that must vanish together for that. */
const MIN_MASS_TARGETS = 3;

export interface VanishedTargetsOptions {
  readonly clock: Clock;
  /** Time for which a draining target keeps serving. */
  readonly drainMilliseconds: number;
  /** The present or latest absence of the store. */
  readonly storeAbsence: () => StoreAbsence | undefined;
}

interface Vanished {
  readonly at: number;
  /** Monotonic time at which the target is removed. */
  readonly heldUntil: number;
}

/** A vanished target that is no longer used. */
export interface ExpiredTarget {
  readonly id: string;
  /** Whether the store was away when its record vanished. */
  readonly isDoubted: boolean;
}

/**
 * Decides how long a target is still used after its record vanished without a drain. It may have
 * stopped or crashed, or the store may have lost a record that the target will write again. Only
 * an absence of the store in which the record vanished counts: a later one does not prolong the use.
 */
export class VanishedTargets {
  readonly #options: VanishedTargetsOptions;
  readonly #vanished = new Map<string, Vanished>();
  #massHeldUntil = -Infinity;

  constructor(options: VanishedTargetsOptions) {
    this.#options = options;
  }

  has(id: string): boolean {
    return this.#vanished.has(id);
  }

  /**
   * @param targetsOfService - number of targets that the service had before
   * @returns delay after which {@link removeExpired} has something to remove, in milliseconds
   */
  add(ids: readonly string[], targetsOfService: number): number {
    const { clock, drainMilliseconds } = this.#options;
    const now = clock.now();
    if (ids.length >= MIN_MASS_TARGETS && ids.length >= MASS_SHARE * targetsOfService) {
      const massHold = drainMilliseconds - MASS_RESERVE_MILLISECONDS;
      this.#massHeldUntil = now + Math.min(MAX_MASS_HOLD_MILLISECONDS, massHold);
    }
    const hold = Math.min(MAX_HOLD_MILLISECONDS, drainMilliseconds - RESERVE_MILLISECONDS);
    const heldUntil = Math.max(now, now + hold, this.#massHeldUntil);
    for (const id of ids) {
      this.#vanished.set(id, { at: now, heldUntil });
    }
    return heldUntil - now;
  }

  /** Forgets a target that has registered again; returns whether it had vanished. */
  remove(id: string): boolean {
    return this.#vanished.delete(id);
  }

  /** Removes and returns the targets that are no longer used. */
  removeExpired(): ExpiredTarget[] {
    const now = this.#options.clock.now();
    const absence = this.#options.storeAbsence();
    const expired: ExpiredTarget[] = [];
    for (const [id, { at, heldUntil }] of this.#vanished) {
      const isDoubted = absence !== undefined && at >= absence.since && at <= absence.until;
      const end = isDoubted ? Math.max(heldUntil, absence.until) : heldUntil;
      if (now >= end) {
        this.#vanished.delete(id);
        expired.push({ id, isDoubted });
      } else if (Number.isFinite(end)) {
        this.#vanished.set(id, { at, heldUntil: end });
      }
    }
    return expired;
  }
}
