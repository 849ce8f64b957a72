import type { StorePosition } from '../fleet/store-position.js';
import { isAfter, laterOf } from '../fleet/store-position.js';

/** Position of a host that has not reported any; no changes are sent on its account. */
const UNKNOWN_POSITION: StorePosition = { epoch: Infinity, revision: Infinity };

/**
 * Positions up to which peers need no further changes: they reported to have them, or were sent
 * them. What was sent counts although it may be lost, as the peer then fetches it: otherwise each
 * message would repeat it for as long as one peer is silent.
 */
export class PeerPositions {
  readonly #reported = new Map<string, StorePosition>();
  readonly #sent = new Map<string, StorePosition>();

  /** Records the position that a peer reported last. */
  recordReported(name: string, position: StorePosition): void {
    this.#reported.set(name, position);
  }

  /** Records that peers were sent the changes up to a position, or its number. */
  recordSent(names: readonly string[], position: StorePosition): void {
    for (const name of names) {
      this.#sent.set(name, position);
    }
  }

  /** Returns the newest position up to which none of these peers needs changes. */
  lowest(names: readonly string[]): StorePosition {
    return names
      .map((name) => this.#of(name))
      .reduce((lowest, next) => (isAfter(lowest, next) ? next : lowest), UNKNOWN_POSITION);
  }

  #of(name: string): StorePosition {
    const reported = this.#reported.get(name);
    if (reported === undefined) {
      return UNKNOWN_POSITION;
    }
    return laterOf(reported, this.#sent.get(name) ?? reported);
  }
}
