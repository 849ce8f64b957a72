import type { Clock } from '@ferrylock/utils';

/** Part of the time that a leaving target serves on, within which one that vanished is still used. */
const SHARE_OF_DRAIN = 0.6;
/** Longest use of a vanished target where nothing suggests that the store lost it. */
const LONGEST_HOLD_MILLISECONDS = 1_200;
/** Time after the store's return within which targets that live have recorded themselves anew. */
const RETURN_MILLISECONDS = 2_300;
/** Part of a service's targets whose vanishing together is taken for a fault of the store. */
const DOUBTED_SHARE = 0.5;
/** Fewest targets whose vanishing together is doubted. */
const FEWEST_DOUBTED = 3;

export interface VanishedTargetsOptions {
  readonly clock: Clock;
  /** How long a target that leaves serves on, by agreement. */
  readonly drainMilliseconds: number;
}

/**
 * Decides how long a target whose record vanished without notice is still used. It may have left,
 * it may be dead, or the store may have lost a record that the target will write again.
 */
export class VanishedTargets {
  readonly #options: VanishedTargetsOptions;
  readonly #vanishedAt = new Map<string, number>();
  #doubtedUntil = -Infinity;

  constructor(options: VanishedTargetsOptions) {
    this.#options = options;
  }

  has(id: string): boolean {
    return this.#vanishedAt.has(id);
  }

  /** @param ofService - targets that the service had before */
  add(ids: readonly string[], ofService: number): void {
    const now = this.#options.clock.now();
    for (const id of ids) {
      this.#vanishedAt.set(id, now);
    }
    if (ids.length >= FEWEST_DOUBTED && ids.length >= DOUBTED_SHARE * ofService) {
      this.#doubtedUntil = now + RETURN_MILLISECONDS;
    }
  }

  /** The target has recorded itself again. */
  remove(id: string): boolean {
    return this.#vanishedAt.delete(id);
  }

  /**
   * Takes out those that are gone by now.
   *
   * @param storeReturnedAt - when the store last began to answer after a fault; infinite while it
   *   does not answer
   */
  takeGone(storeReturnedAt: number): string[] {
    const now = this.#options.clock.now();
    const heldUntil = Math.max(this.#doubtedUntil, storeReturnedAt + RETURN_MILLISECONDS);
    if (now < heldUntil) {
      return [];
    }
    const hold = Math.min(
      LONGEST_HOLD_MILLISECONDS,
      SHARE_OF_DRAIN * this.#options.drainMilliseconds,
    );
    const gone = [...this.#vanishedAt].filter(([, at]) => now - at >= hold).map(([id]) => id);
    for (const id of gone) {
      this.#vanishedAt.delete(id);
    }
    return gone;
  }
}
