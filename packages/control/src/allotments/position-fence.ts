import type { Clock } from '@ferrylock/utils';

/** How long a confirmation lets a holder go on. */
export const HOLD_MILLISECONDS = 60_000;
/** How long a claimant waits after the last promise; longer than any holder goes on. */
export const RECLAIM_MILLISECONDS = 90_000;

interface Witness {
  readonly positions: readonly number[];
  readonly at: number;
}

/**
 * Says whether this daemon may still use its positions. The store confirms it, or, while the store
 * is down, peers do that together hold more than half of all positions and have not promised anyone
 * to stop. A claimant needs such promises from more than half as well, so that at least one position
 * would have to say both. The store alone decides who holds what; peers only bear witness.
 */
export class PositionFence {
  readonly #witnesses = new Map<string, Witness>();
  #confirmedByStoreAt = -Infinity;

  constructor(
    readonly clock: Clock,
    readonly positionCount: () => number,
  ) {}

  /** @param askedAt - clock reading from before the question left */
  confirmedByStore(askedAt: number): void {
    this.#confirmedByStoreAt = Math.max(this.#confirmedByStoreAt, askedAt);
  }

  confirmedByPeer(peer: string, positions: readonly number[], askedAt: number): void {
    const known = this.#witnesses.get(peer);
    if (known === undefined || askedAt > known.at) {
      this.#witnesses.set(peer, { positions, at: askedAt });
    }
  }

  /** A peer that has promised a claimant to stop vouching no longer counts. */
  withdraw(peer: string): void {
    this.#witnesses.delete(peer);
  }

  /** Whether positions may be used now. Asked at each use, never remembered. */
  isValid(ownPositions: readonly number[]): boolean {
    const now = this.clock.now();
    if (now - this.#confirmedByStoreAt < HOLD_MILLISECONDS) {
      return true;
    }
    const vouched = new Set(ownPositions);
    for (const witness of this.#witnesses.values()) {
      if (now - witness.at < HOLD_MILLISECONDS) {
        witness.positions.forEach((position) => vouched.add(position));
      }
    }
    return vouched.size * 2 > this.positionCount();
  }

  /** Drops witnesses that no longer count, so that their number stays bounded. */
  prune(): void {
    const now = this.clock.now();
    for (const [peer, witness] of this.#witnesses) {
      if (now - witness.at >= HOLD_MILLISECONDS) {
        this.#witnesses.delete(peer);
      }
    }
  }
}
