import type { Clock } from '@ferrylock/utils';
import { memberKey } from '../membership/member.js';
import type { Membership } from '../membership/membership.js';
import type { PeerClient } from '../peer/peer-client.js';
import { RECLAIM_MILLISECONDS } from './position-fence.js';
import type { StoredPosition } from './position-record.js';
import { holderKey, vacantRecord } from './position-record.js';
import type { PositionReading, PositionStore } from './position-store.js';

/** How long a holder must be missing before it is taken for dead. */
const MISSING_MILLISECONDS = 15_000;

interface GivenPromise {
  readonly holder: string;
  readonly madeAt: number;
}

interface Reclaim {
  readonly holder: string;
  /** Positions whose holders have promised not to vouch for the holder any more. */
  readonly promised: Set<number>;
  lastPromiseAt: number;
}

export interface PositionReclaimerOptions {
  readonly records: PositionStore;
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly clock: Clock;
  /** The longest that a loan, or work begun under a position, can last, in milliseconds. */
  readonly longestUseMilliseconds: () => number;
  /** Positions of this daemon that it may vouch with now. */
  readonly vouchingPositions: () => readonly number[];
}

/**
 * Takes positions from holders that seem dead. It leaves a notice in the record, which the holder
 * answers if it can reach the store; collects promises from the holders of more than half of the
 * positions not to vouch for it; and waits until the holder, however paused or cut off, has surely
 * stopped using the position (see {@link PositionFence}). Only then is the position vacant.
 */
export class PositionReclaimer {
  readonly #options: PositionReclaimerOptions;
  readonly #promises = new Map<number, GivenPromise>();
  readonly #reclaims = new Map<number, Reclaim>();
  /** When holders were first found missing, by position. */
  readonly #missingSince = new Map<number, number>();

  constructor(options: PositionReclaimerOptions) {
    this.#options = options;
  }

  /** Positions whose holders this daemon has promised not to vouch for. */
  get promisedPositions(): number[] {
    return [...this.#promises.keys()];
  }

  /** Promises not to vouch for the holder of a position. */
  promise(position: number, holder: string): void {
    this.#promises.set(position, { holder, madeAt: this.#options.clock.now() });
  }

  /** Goes on with what the records call for. */
  async round({ positions, askedAt, storeId }: PositionReading): Promise<void> {
    this.#reviewPromises(positions, askedAt);
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
   * A promise ends when a record read since shows its holder alive again, or replaced; a notice
   * found in the store is kept as a promise, whoever asks for it.
   */
  #reviewPromises(stored: readonly StoredPosition[], askedAt: number): void {
    for (const { position, record } of stored) {
      const promise = this.#promises.get(position.index);
      if (record.noticeBy !== null) {
        this.promise(position.index, holderKey(record) ?? '');
      } else if (promise !== undefined && promise.madeAt < askedAt) {
        this.#promises.delete(position.index);
      }
    }
  }

  #isLongMissing(index: number): boolean {
    const now = this.#options.clock.now();
    const since = this.#missingSince.get(index) ?? now;
    this.#missingSince.set(index, since);
    return now - since >= MISSING_MILLISECONDS;
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
    const waited = clock.now() - reclaim.lastPromiseAt;
    if (waited >= RECLAIM_MILLISECONDS + longestUseMilliseconds()) {
      this.#reclaims.delete(index);
      await records.write(position, vacantRecord(storeId));
    }
  }

  async #collectPromises(position: number, reclaim: Reclaim): Promise<void> {
    const { peers, membership, clock, vouchingPositions } = this.#options;
    this.promise(position, reclaim.holder);
    vouchingPositions().forEach((own) => reclaim.promised.add(own));
    const answers = await Promise.all(
      membership.knownPeers().map((peer) =>
        peers.call(peer.controlAddress, 'allotments.notice', {
          position,
          holder: reclaim.holder,
        }),
      ),
    );
    for (const answer of answers) {
      if (answer.isOk()) {
        answer.value.positions.forEach((promised) => reclaim.promised.add(promised));
      }
    }
    reclaim.lastPromiseAt = clock.now();
  }
}
