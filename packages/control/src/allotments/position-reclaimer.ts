import type { Clock } from '@ferrylock/utils';
import { memberKey } from '../membership/member.js';
import type { Membership } from '../membership/membership.js';
import type { PeerClient } from '../peer/peer-client.js';
import { RECLAIM_MILLISECONDS } from './position-fence.js';
import type { StoredPosition } from './position-record.js';
import { holderKey, vacantRecord } from './position-record.js';
import type { PositionReading, PositionStore } from './position-store.js';

/** Time of absence after which a holder is considered dead. */
const MISSING_MILLISECONDS = 15_000;

interface ReclaimPromise {
  readonly holder: string;
  readonly madeAt: number;
}

interface Reclaim {
  readonly holder: string;
  /** Positions whose holders promised to no longer confirm the reclaimed one's holder. */
  readonly promised: Set<number>;
  lastPromiseAt: number;
}

export interface PositionReclaimerOptions {
  readonly records: PositionStore;
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly clock: Clock;
  /** Maximum duration of a loan, or of work started under a position. */
  readonly longestUseMilliseconds: () => number;
  /** Positions with which this daemon may confirm other holders now. */
  readonly confirmingPositions: () => readonly number[];
}

/**
 * Reclaims positions from holders that seem dead. It sets a notice in the record, which the holder
 * clears if it can reach the store; collects promises from the holders of a majority of positions
 * not to confirm it; and waits until even a paused or partitioned holder must have stopped using
 * the position (see {@link PositionFence}) before it marks the position as vacant.
 */
export class PositionReclaimer {
  readonly #options: PositionReclaimerOptions;
  readonly #promises = new Map<number, ReclaimPromise>();
  readonly #reclaims = new Map<number, Reclaim>();
  /** Time at which a holder was first missing, by position. */
  readonly #missingSince = new Map<number, number>();

  constructor(options: PositionReclaimerOptions) {
    this.#options = options;
  }

  /** Positions whose holders this daemon promised not to confirm. */
  get promisedPositions(): number[] {
    return [...this.#promises.keys()];
  }

  /** Promises not to confirm the holder of a position. */
  promise(position: number, holder: string): void {
    this.#promises.set(position, { holder, madeAt: this.#options.clock.now() });
  }

  /** Starts, continues or cancels reclaims according to the records. */
  async round({ positions, requestedAt, storeId }: PositionReading): Promise<void> {
    this.#reviewPromises(positions, requestedAt);
    const { membership } = this.#options;
    const alive = new Set(membership.knownMembers().map(memberKey));
    for (const position of positions) {
      const { index } = position.position;
      const holder = holderKey(position.record);
      const isHeldOrVacant = holder === undefined || alive.has(holder);
      if (isHeldOrVacant && !position.isDoubtful) {
        this.#reclaims.delete(index);
        this.#missingSince.delete(index);
      } else if (this.#isLongMissing(index)) {
        await this.#reclaim(position, holder ?? '', alive, storeId);
      }
    }
  }

  /**
   * Ends a promise when a record read later has no notice any more; a notice in the store counts as
   * a promise, whichever daemon set it.
   */
  #reviewPromises(stored: readonly StoredPosition[], requestedAt: number): void {
    for (const { position, record } of stored) {
      const promise = this.#promises.get(position.index);
      if (record.noticeBy !== null) {
        this.promise(position.index, holderKey(record) ?? '');
      } else if (promise !== undefined && promise.madeAt < requestedAt) {
        this.#promises.delete(position.index);
      }
    }
  }

  #isLongMissing(index: number): boolean {
    const now = this.#options.clock.now();
    const missingSince = this.#missingSince.get(index) ?? now;
    this.#missingSince.set(index, missingSince);
    return now - missingSince >= MISSING_MILLISECONDS;
  }

  async #reclaim(
    position: StoredPosition,
    holder: string,
    alive: ReadonlySet<string>,
    storeId: string,
  ): Promise<void> {
    const { clock, records, longestUseMilliseconds } = this.#options;
    const { index } = position.position;
    const self = memberKey(this.#options.membership.self);
    const { noticeBy } = position.record;
    if (noticeBy !== self) {
      if (noticeBy === null || !alive.has(noticeBy)) {
        this.#reclaims.delete(index);
        await records.write(position, { ...position.record, noticeBy: self });
      }
      return;
    }
    const reclaim = this.#reclaims.get(index) ?? {
      holder,
      promised: new Set<number>(),
      lastPromiseAt: 0,
    };
    this.#reclaims.set(index, reclaim);
    if (reclaim.promised.size * 2 <= records.groupSize) {
      await this.#collectPromises(index, reclaim);
      return;
    }
    const elapsed = clock.now() - reclaim.lastPromiseAt;
    if (elapsed >= RECLAIM_MILLISECONDS + longestUseMilliseconds()) {
      this.#reclaims.delete(index);
      await records.write(position, vacantRecord(storeId));
    }
  }

  async #collectPromises(position: number, reclaim: Reclaim): Promise<void> {
    const { peers, membership, clock, confirmingPositions } = this.#options;
    this.promise(position, reclaim.holder);
    confirmingPositions().forEach((own) => reclaim.promised.add(own));
    const responses = await Promise.all(
      membership.knownPeers().map((peer) =>
        peers.call(peer.controlAddress, 'allotments.notice', {
          position,
          holder: reclaim.holder,
        }),
      ),
    );
    for (const response of responses) {
      if (response.isOk()) {
        response.value.positions.forEach((promised) => reclaim.promised.add(promised));
      }
    }
    reclaim.lastPromiseAt = clock.now();
  }
}
