import type { Clock } from '@ferrylock/utils';

/** Part of the time that a leaving target serves on, within which one that vanished is still used. */
const SHARE_OF_DRAIN = 0.6;
/** Longest use of a vanished target where nothing suggests that the store lost it. */
const LONGEST_HOLD_MILLISECONDS = 1_200;
/**
 * Time after the store's return within which targets that live have recorded themselves anew: two
 * seconds by agreement. A host that was cut off takes its own return for the store's, and is to have
 * dropped what vanished meanwhile three seconds after the cut, of which it takes up to 0.9 to notice.
 */
const RETURN_MILLISECONDS = 2_100;
/** Part of a service's targets whose vanishing together is taken for a fault of the store. */
const DOUBTED_SHARE = 0.5;
/** Fewest targets whose vanishing together is doubted. */
const FEWEST_DOUBTED = 3;

export interface VanishedTargetsOptions {
  readonly clock: Clock;
  /** How long a target that leaves serves on, by agreement. */
  readonly drainMilliseconds: number;
}

/** A target whose record vanished. */
interface Vanished {
  readonly at: number;
  /** When it counts as gone; infinite while the store is away and its return is not known. */
  readonly heldUntil: number;
}

/**
 * Decides how long a target whose record vanished without notice is still used. It may have left,
 * it may be dead, or the store may have lost a record that the target will write again. Only what
 * was known of the store when the record vanished counts: that the store is lost from sight later
 * says nothing about a target that had gone before.
 */
export class VanishedTargets {
  readonly #options: VanishedTargetsOptions;
  readonly #vanished = new Map<string, Vanished>();
  #doubtedUntil = -Infinity;

  constructor(options: VanishedTargetsOptions) {
    this.#options = options;
  }

  has(id: string): boolean {
    return this.#vanished.has(id);
  }

  /**
   * @param ofService - targets that the service had before
   * @param storeReturnedAt - when the store last began to answer after a fault; infinite while it
   *   does not answer
   */
  add(ids: readonly string[], ofService: number, storeReturnedAt: number): void {
    const now = this.#options.clock.now();
    if (ids.length >= FEWEST_DOUBTED && ids.length >= DOUBTED_SHARE * ofService) {
      this.#doubtedUntil = now + RETURN_MILLISECONDS;
    }
    for (const id of ids) {
      const heldUntil = Math.max(this.#doubtedUntil, this.#heldUntil(now, storeReturnedAt));
      this.#vanished.set(id, { at: now, heldUntil });
    }
  }

  /** The target has recorded itself again. */
  remove(id: string): boolean {
    return this.#vanished.delete(id);
  }

  /**
   * Takes out those that are gone by now.
   *
   * @param storeReturnedAt - as in {@link add}
   */
  removeExpired(storeReturnedAt: number): string[] {
    const now = this.#options.clock.now();
    const gone: string[] = [];
    for (const [id, { at, heldUntil }] of this.#vanished) {
      const end = Number.isFinite(heldUntil) ? heldUntil : this.#heldUntil(at, storeReturnedAt);
      if (now >= end) {
        this.#vanished.delete(id);
        gone.push(id);
      } else if (end !== heldUntil) {
        this.#vanished.set(id, { at, heldUntil: end });
      }
    }
    return gone;
  }

  #heldUntil(vanishedAt: number, storeReturnedAt: number): number {
    const { drainMilliseconds } = this.#options;
    const hold = Math.min(LONGEST_HOLD_MILLISECONDS, SHARE_OF_DRAIN * drainMilliseconds);
    return Math.max(vanishedAt + hold, storeReturnedAt + RETURN_MILLISECONDS);
  }
}
