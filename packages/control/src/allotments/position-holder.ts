import type { KeyValueStore } from '@ferrylock/platform';
import type { Clock, Logger, Random } from '@ferrylock/utils';
import { BackgroundTasks, jittered, shuffled } from '@ferrylock/utils';
import type {
  ExtraHeartbeatFields,
  HeartbeatParticipant,
  ReceivedHeartbeat,
} from '../membership/heartbeat-participant.js';
import { isServing, memberKey } from '../membership/member.js';
import type { Membership } from '../membership/membership.js';
import type { PeerClient } from '../peer/peer-client.js';
import type { PeerRouter } from '../peer/peer-router.js';
import type { OwnedUnits } from './allotment-ledger.js';
import type { LimitRegister } from './limit-register.js';
import { PositionFence } from './position-fence.js';
import type { PositionLayout } from './position-layout.js';
import { PositionReclaimer } from './position-reclaimer.js';
import type { PositionRecord, StoredPosition } from './position-record.js';
import { holderKey, vacantRecord } from './position-record.js';
import type { PositionReading } from './position-store.js';
import { PositionStore } from './position-store.js';

/** Interval of reads of the records while this daemon holds too few, and when idle. */
const CLAIM_INTERVAL_MILLISECONDS = 500;
const IDLE_INTERVAL_MILLISECONDS = 20_000;
/** Interval while a position may soon become vacant. */
const PENDING_INTERVAL_MILLISECONDS = 2_000;
/** Interval of checks if a position to be released is still in use. */
const RELEASE_CHECK_MILLISECONDS = 100;

interface HeldPosition {
  /** Clock time from which the position may be used, after loans of the previous holder ended. */
  readonly usableFrom: number;
}

export interface PositionHolderOptions {
  readonly layout: PositionLayout;
  readonly store: KeyValueStore;
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly register: LimitRegister;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Maximum duration of a loan, or of work started under a position. */
  readonly longestUseMilliseconds: () => number;
  /** Checks if usage and loans fit into the owned and borrowed units. */
  readonly usageFits: () => boolean;
}

/**
 * Manages the positions of this daemon, which are its own shares of every limit. The store records
 * the holders; a position changes its holder only when the previous one can no longer use it.
 */
export class PositionHolder implements OwnedUnits, HeartbeatParticipant {
  readonly fence: PositionFence;
  readonly #options: PositionHolderOptions;
  readonly #records: PositionStore;
  readonly #reclaimer: PositionReclaimer;
  readonly #tasks: BackgroundTasks;
  readonly #held = new Map<number, HeldPosition>();
  /** Positions that are being released: no longer used, but not yet vacant in the store. */
  readonly #releasing = new Set<number>();
  /** Positions held and in use, cached because each request reads them. */
  #positions: readonly number[] = [];
  #allUsableFrom = 0;
  #stopping = false;

  constructor(options: PositionHolderOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options);
    this.#records = new PositionStore({ ...options, self: () => options.membership.self });
    this.fence = new PositionFence(options.clock, () => this.#records.groupSize);
    this.#reclaimer = new PositionReclaimer({
      ...options,
      records: this.#records,
      confirmingPositions: () => this.#confirmingPositions(),
    });
  }

  /** Positions held and in use. */
  get positions(): readonly number[] {
    return this.#positions;
  }

  /** Units of a limit that this daemon currently owns. */
  ownedUnits(limit: string): number {
    if (!this.fence.isValid(this.#positions)) {
      return 0;
    }
    return this.#options.register.unitsOf(limit, this.#usablePositions());
  }

  register(router: PeerRouter): void {
    router.handle('allotments.notice', ({ position, holder }) => {
      this.#reclaimer.promise(position, holder);
      return { positions: this.#confirmingPositions() };
    });
  }

  start(): void {
    this.#tasks.start('positions', (signal) => this.#run(signal));
  }

  /** Stops without releasing positions, like a crash. */
  async stop(): Promise<void> {
    await this.#tasks.stop();
  }

  /** Releases all positions; loans and work started under them must have ended before. */
  async giveAllBack(): Promise<void> {
    this.#stopping = true;
    await this.#tasks.stop();
    const reading = await this.#records.read();
    if (reading === undefined) {
      return;
    }
    const { positions, storeId } = reading;
    const own = positions.filter(({ record }) => this.#isOwn(record));
    this.#held.clear();
    this.#updatePositions();
    await Promise.all(own.map((position) => this.#records.write(position, vacantRecord(storeId))));
  }

  describe(): Partial<ExtraHeartbeatFields> {
    return {
      positions: this.#confirmingPositions(),
      reclaimNotices: this.#reclaimer.promisedPositions,
    };
  }

  received({ from, fields, notBefore }: ReceivedHeartbeat): void {
    const peer = memberKey(from);
    const isDisputed = fields.reclaimNotices.some((position) => this.#held.has(position));
    if (isDisputed) {
      this.fence.withdraw(peer);
    } else if (notBefore > -Infinity && this.#records.isInGroup(from)) {
      this.fence.confirmedByPeer(peer, fields.positions, notBefore);
    }
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    for (;;) {
      const members = this.#servingCount();
      const pause = await this.#round();
      this.fence.prune();
      const idleUntil = clock.now() + jittered(random, pause);
      do {
        await clock.sleep(jittered(random, CLAIM_INTERVAL_MILLISECONDS), signal);
        if (signal.aborted) {
          return;
        }
      } while (clock.now() < idleUntil && this.#servingCount() === members);
    }
  }

  /** Reads and processes the records; returns the maximum delay until the next round. */
  async #round(): Promise<number> {
    const reading = await this.#records.read();
    if (reading === undefined) {
      return this.positions.length > 0 ? IDLE_INTERVAL_MILLISECONDS : CLAIM_INTERVAL_MILLISECONDS;
    }
    await this.#confirmOwn(reading);
    await this.#reclaimer.round(reading);
    return this.#balance(reading);
  }

  /**
   * Drops positions that the store assigns to other daemons, clears notices on held positions, and
   * rewrites records that a restored store has lost.
   */
  async #confirmOwn({ positions, requestedAt, storeId }: PositionReading): Promise<void> {
    let allConfirmed = true;
    for (const position of positions) {
      const { index } = position.position;
      if (!this.#held.has(index)) {
        continue;
      }
      if (!this.#isOwn(position.record) && !position.isDoubtful) {
        this.#held.delete(index);
        this.#updatePositions();
        this.#options.logger.warn('position lost', { position: index });
      } else if (position.record.noticeBy !== null || position.isDoubtful) {
        const isWritten = await this.#records.write(position, this.#ownRecord(storeId));
        allConfirmed &&= isWritten;
      }
    }
    if (allConfirmed) {
      this.fence.confirmedByStore(requestedAt);
    }
  }

  /** Claims vacant positions up to a fair share and releases the excess. */
  async #balance({ positions: stored, storeId }: PositionReading): Promise<number> {
    const servingHolders = this.#servingCount();
    const maxFairShare = Math.ceil(stored.length / servingHolders);
    const minFairShare = Math.max(1, Math.floor(stored.length / servingHolders));
    const claimable = this.#sortByDistance(
      stored.filter((position) => this.#isClaimable(position)),
    );
    // Claims one per round, so that daemons that start together discover each other first.
    const [next] = claimable;
    if (next !== undefined && this.positions.length < maxFairShare) {
      await this.#claim(next, storeId);
    }
    const excess = this.positions.length - maxFairShare;
    for (const index of this.positions.slice(0, Math.max(0, excess))) {
      this.#tasks.run('give up position', () => this.#release(index));
    }
    if (this.positions.length < minFairShare || claimable.length > 0 || excess > 0) {
      return CLAIM_INTERVAL_MILLISECONDS;
    }
    return this.#hasAbsentHolder(stored)
      ? PENDING_INTERVAL_MILLISECONDS
      : IDLE_INTERVAL_MILLISECONDS;
  }

  /** Checks if the holder of any position is leaving or seems dead. */
  #hasAbsentHolder(stored: readonly StoredPosition[]): boolean {
    const serving = new Set(
      this.#options.membership.knownMembers().filter(isServing).map(memberKey),
    );
    return stored.some(({ record }) => {
      const holder = holderKey(record);
      return holder !== undefined && !serving.has(holder);
    });
  }

  async #claim(position: StoredPosition, storeId: string): Promise<void> {
    const { clock, logger, longestUseMilliseconds } = this.#options;
    const wasVacant = position.record.holder === null;
    if (!(await this.#records.write(position, this.#ownRecord(storeId)))) {
      return;
    }
    const { index } = position.position;
    // Borrowers may still use loans of the previous holder.
    const wait = wasVacant ? 0 : longestUseMilliseconds();
    this.#held.set(index, { usableFrom: clock.now() + wait });
    this.#updatePositions();
    logger.info('position taken', { position: index, wasVacant });
  }

  /**
   * Stops using a position, waits until all use of it has ended, then vacates it. It is no longer
   * held before the write: if the reply is lost, it is claimed again like any other.
   */
  async #release(index: number): Promise<void> {
    const { clock, usageFits } = this.#options;
    this.#releasing.add(index);
    this.#updatePositions();
    while (!usageFits() && !this.#tasks.stopped) {
      await clock.sleep(RELEASE_CHECK_MILLISECONDS, this.#tasks.signal);
    }
    const reading = await this.#records.read();
    const stored = reading?.positions.find(({ position }) => position.index === index);
    if (!this.#tasks.stopped && stored !== undefined && this.#isOwn(stored.record)) {
      this.#held.delete(index);
      this.#updatePositions();
      await this.#records.write(stored, vacantRecord(reading?.storeId ?? ''));
    }
    this.#releasing.delete(index);
    this.#updatePositions();
  }

  /** Own positions if valid; only these may confirm others or back a promise. */
  #confirmingPositions(): number[] {
    return !this.#stopping && this.fence.isValid(this.#positions) ? [...this.#positions] : [];
  }

  /** Positions without outstanding loans of a previous holder. */
  #usablePositions(): readonly number[] {
    const now = this.#options.clock.now();
    if (now >= this.#allUsableFrom) {
      return this.#positions;
    }
    return this.#positions.filter((index) => (this.#held.get(index)?.usableFrom ?? 0) <= now);
  }

  /** Recomputes the state derived from the held positions, after each change of them. */
  #updatePositions(): void {
    this.#positions = [...this.#held.keys()].filter((index) => !this.#releasing.has(index));
    this.#allUsableFrom = Math.max(0, ...[...this.#held.values()].map((held) => held.usableFrom));
  }

  /** Checks if a position is vacant, of an earlier incarnation, or own after a lost reply. */
  #isClaimable({ position, record, isDoubtful }: StoredPosition): boolean {
    if (this.#held.has(position.index) || isDoubtful) {
      return false;
    }
    return record.holder === null || this.#isEarlierIncarnation(record) || this.#isOwn(record);
  }

  /** Checks for an earlier process on the same host and address, which must have ended. */
  #isEarlierIncarnation({ holder }: PositionRecord): boolean {
    const { id, incarnation, controlAddress } = this.#options.membership.self;
    return (
      holder?.id === id &&
      holder.controlAddress === controlAddress &&
      holder.incarnation !== incarnation
    );
  }

  #ownRecord(storeId: string): PositionRecord {
    const { id, incarnation, controlAddress } = this.#options.membership.self;
    return { holder: { id, incarnation, controlAddress }, noticeBy: null, storeId };
  }

  #isOwn(record: PositionRecord): boolean {
    return holderKey(record) === memberKey(this.#options.membership.self);
  }

  #sortByDistance(positions: readonly StoredPosition[]): StoredPosition[] {
    const { membership, random } = this.#options;
    const { failureDomain, region } = membership.self;
    const distance = ({ position, record }: StoredPosition): number => {
      if (this.#isEarlierIncarnation(record)) {
        return 0;
      }
      if (position.failureDomain === failureDomain) {
        return 1;
      }
      return position.region === region ? 2 : 3;
    };
    return shuffled(random, positions).sort((a, b) => distance(a) - distance(b));
  }

  #servingCount(): number {
    const serving = this.#options.membership
      .knownMembers()
      .filter((member) => isServing(member) && this.#records.isInGroup(member));
    return Math.max(1, serving.length);
  }
}
