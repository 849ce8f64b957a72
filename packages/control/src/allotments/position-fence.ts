import type { Clock } from '@ferrylock/utils';

/** Validity of a confirmation. */
export const HOLD_MILLISECONDS = 60_000;
/** Wait of a claimant after the last promise; must exceed the validity of confirmations. */
export const RECLAIM_MILLISECONDS = 90_000;

interface Confirmation {
  readonly positions: readonly number[];
  readonly at: number;
}

/**
 * Decides if this daemon may still use its positions. Either the store confirms it, or, while the
 * store is down, peers that hold a majority of the positions and have not promised to stop. A
 * claimant needs promises from a majority as well, so the two exclude each other. Who holds a
 * position is decided by the store alone.
 */
export class PositionFence {
  readonly #confirmations = new Map<string, Confirmation>();
  #confirmedByStoreAt = -Infinity;

  constructor(
    readonly clock: Clock,
    readonly positionCount: () => number,
  ) {}

  /** @param requestedAt - clock time before the request was sent */
  confirmedByStore(requestedAt: number): void {
    this.#confirmedByStoreAt = Math.max(this.#confirmedByStoreAt, requestedAt);
  }

  confirmedByPeer(peer: string, positions: readonly number[], requestedAt: number): void {
    const known = this.#confirmations.get(peer);
    if (known === undefined || requestedAt > known.at) {
      this.#confirmations.set(peer, { positions, at: requestedAt });
    }
  }

  /** Removes the confirmation of a peer that promised a claimant to stop confirming. */
  withdraw(peer: string): void {
    this.#confirmations.delete(peer);
  }

  /** Checks if positions may be used now; the result must not be cached. */
  isValid(ownPositions: readonly number[]): boolean {
    const now = this.clock.now();
    if (now - this.#confirmedByStoreAt < HOLD_MILLISECONDS) {
      return true;
    }
    const confirmed = new Set(ownPositions);
    for (const confirmation of this.#confirmations.values()) {
      if (now - confirmation.at < HOLD_MILLISECONDS) {
        confirmation.positions.forEach((position) => confirmed.add(position));
      }
    }
    return confirmed.size * 2 > this.positionCount();
  }

  /** Removes expired confirmations. */
  prune(): void {
    const now = this.clock.now();
    for (const [peer, confirmation] of this.#confirmations) {
      if (now - confirmation.at >= HOLD_MILLISECONDS) {
        this.#confirmations.delete(peer);
      }
    }
  }
}
