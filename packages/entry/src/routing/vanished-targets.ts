import type { Clock } from '@ferrylock/utils';

/** Share of the drain time for which a vanished target is still used. */
const HOLD_SHARE_OF_DRAIN = 0.6;
/** Upper bound for using a vanished target while the store is not suspected to have lost it. */
const MAX_HOLD_MILLISECONDS = 1_200;
/**
 * Time within which live targets register again after the store has become available: two seconds
 * by contract, plus a margin. A host that was partitioned must drop vanished targets within three
 * seconds, of which detecting that the store is back takes up to 0.9.
 */
const REGISTRATION_MILLISECONDS = 2_100;
/** Share of a service's targets that must vanish together to be taken for a store failure. */
const STORE_FAILURE_SHARE = 0.5;
/** Minimum number of targets that must vanish together to be taken for a store failure. */
const MIN_STORE_FAILURE_TARGETS = 3;

export interface VanishedTargetsOptions {
  readonly clock: Clock;
  /** Time for which a draining target keeps serving. */
  readonly drainMilliseconds: number;
}

interface Vanished {
  readonly at: number;
  /** Monotonic time at which the target is removed; infinite while the store is unavailable. */
  readonly heldUntil: number;
}

/**
 * Decides how long a target is still used after its record vanished without a drain. It may have
 * stopped or crashed, or the store may have lost a record that the target will write again. Only
 * the state of the store at that moment counts: a later outage does not prolong the use.
 */
export class VanishedTargets {
  readonly #options: VanishedTargetsOptions;
  readonly #vanished = new Map<string, Vanished>();
  #storeDoubtedUntil = -Infinity;

  constructor(options: VanishedTargetsOptions) {
    this.#options = options;
  }

  has(id: string): boolean {
    return this.#vanished.has(id);
  }

  /**
   * @param targetsOfService - number of targets that the service had before
   * @param storeAvailableSince - monotonic time since which the store is available; infinite while
   *   it is unavailable
   */
  add(ids: readonly string[], targetsOfService: number, storeAvailableSince: number): void {
    const now = this.#options.clock.now();
    if (
      ids.length >= MIN_STORE_FAILURE_TARGETS &&
      ids.length >= STORE_FAILURE_SHARE * targetsOfService
    ) {
      this.#storeDoubtedUntil = now + REGISTRATION_MILLISECONDS;
    }
    for (const id of ids) {
      const heldUntil = Math.max(
        this.#storeDoubtedUntil,
        this.#heldUntil(now, storeAvailableSince),
      );
      this.#vanished.set(id, { at: now, heldUntil });
    }
  }

  /** Forgets a target that has registered again; returns whether it had vanished. */
  remove(id: string): boolean {
    return this.#vanished.delete(id);
  }

  /**
   * Removes and returns the targets that are no longer used.
   *
   * @param storeAvailableSince - as in {@link add}
   */
  removeExpired(storeAvailableSince: number): string[] {
    const now = this.#options.clock.now();
    const expired: string[] = [];
    for (const [id, { at, heldUntil }] of this.#vanished) {
      const end = Number.isFinite(heldUntil) ? heldUntil : this.#heldUntil(at, storeAvailableSince);
      if (now >= end) {
        this.#vanished.delete(id);
        expired.push(id);
      } else if (end !== heldUntil) {
        this.#vanished.set(id, { at, heldUntil: end });
      }
    }
    return expired;
  }

  #heldUntil(vanishedAt: number, storeAvailableSince: number): number {
    const { drainMilliseconds } = this.#options;
    const hold = Math.min(MAX_HOLD_MILLISECONDS, HOLD_SHARE_OF_DRAIN * drainMilliseconds);
    return Math.max(vanishedAt + hold, storeAvailableSince + REGISTRATION_MILLISECONDS);
  }
}
