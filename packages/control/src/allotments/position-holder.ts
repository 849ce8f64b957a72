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

/** Pause between two looks at the records while this daemon holds too few, and at rest. */
const CLAIM_PAUSE_MILLISECONDS = 500;
const REST_PAUSE_MILLISECONDS = 20_000;
/** Pause while a position may come free before long. */
const WAITING_PAUSE_MILLISECONDS = 2_000;
/** Pause between two looks at whether a position that is given up is still in use. */
const GIVE_UP_CHECK_MILLISECONDS = 100;

interface HeldPosition {
  /** Clock reading from which the position may be used: loans of the holder before have ended. */
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
  /** The longest that a loan, or work begun under a position, can last, in milliseconds. */
  readonly longestUseMilliseconds: () => number;
  /** Whether what is in use and lent out now fits into what is owned and borrowed now. */
  readonly usageFits: () => boolean;
}

/**
 * Holds this daemon's positions: its own parts of every limit. The store says who holds which; a
 * position changes hands only when its holder has stopped using it, or surely can no longer use it.
 */
export class PositionHolder implements OwnedUnits, HeartbeatParticipant {
  readonly fence: PositionFence;
  readonly #options: PositionHolderOptions;
  readonly #records: PositionStore;
  readonly #reclaimer: PositionReclaimer;
  readonly #tasks: BackgroundTasks;
  readonly #held = new Map<number, HeldPosition>();
  /** Positions that are being given up: no longer used, not yet vacant in the store. */
  readonly #givingUp = new Set<number>();
  /** Positions held and in use, made anew only when they change: they are asked for at each request. */
  #positions: readonly number[] = [];
  #allUsableFrom = 0;
  #stopping = false;

  constructor(options: PositionHolderOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options.logger);
    this.#records = new PositionStore({ ...options, self: () => options.membership.self });
    this.fence = new PositionFence(options.clock, () => this.#records.groupSize);
    this.#reclaimer = new PositionReclaimer({
      ...options,
      records: this.#records,
      vouchingPositions: () => this.#vouchingPositions(),
    });
  }

  /** Positions held and in use. */
  get positions(): readonly number[] {
    return this.#positions;
  }

  /** Units of a limit that are this daemon's own at this very moment. */
  ownedUnits(limit: string): number {
    if (!this.fence.isValid(this.#positions)) {
      return 0;
    }
    return this.#options.register.unitsOf(limit, this.#usablePositions());
  }

  register(router: PeerRouter): void {
    router.handle('allotments.notice', ({ position, holder }) => {
      this.#reclaimer.promise(position, holder);
      return { positions: this.#vouchingPositions() };
    });
  }

  start(): void {
    this.#tasks.start('positions', (signal) => this.#run(signal));
  }

  /** Ends at once and gives nothing back, as a crash would. */
  async stop(): Promise<void> {
    await this.#tasks.stop();
  }

  /** Gives every position back; loans and work begun under them must have ended before. */
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
    this.#heldChanged();
    await Promise.all(own.map((position) => this.#records.write(position, vacantRecord(storeId))));
  }

  describe(): Partial<ExtraHeartbeatFields> {
    return {
      positions: this.#vouchingPositions(),
      reclaimNotices: this.#reclaimer.promisedPositions,
    };
  }

  received({ from, fields, notBefore }: ReceivedHeartbeat): void {
    const peer = memberKey(from);
    const doubted = fields.reclaimNotices.some((position) => this.#held.has(position));
    if (doubted) {
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
      const restUntil = clock.now() + jittered(random, pause);
      do {
        await clock.sleep(jittered(random, CLAIM_PAUSE_MILLISECONDS), signal);
        if (signal.aborted) {
          return;
        }
      } while (clock.now() < restUntil && this.#servingCount() === members);
    }
  }

  /** One look at the records; tells how long it may be until the next. */
  async #round(): Promise<number> {
    const reading = await this.#records.read();
    if (reading === undefined) {
      return this.positions.length > 0 ? REST_PAUSE_MILLISECONDS : CLAIM_PAUSE_MILLISECONDS;
    }
    await this.#confirmOwn(reading);
    await this.#reclaimer.round(reading);
    return this.#balance(reading);
  }

  /**
   * Drops what the store gives to someone else, answers a notice on what is held, and writes what is
   * held into a store that has lost it.
   */
  async #confirmOwn({ positions, askedAt, storeId }: PositionReading): Promise<void> {
    let allConfirmed = true;
    for (const position of positions) {
      const { index } = position.position;
      if (!this.#held.has(index)) {
        continue;
      }
      if (!this.#isOwn(position.record) && !position.isDoubtful) {
        this.#held.delete(index);
        this.#heldChanged();
        this.#options.logger.warn('position lost', { position: index });
      } else if (position.record.noticeBy !== null || position.isDoubtful) {
        const answered = await this.#records.write(position, this.#ownRecord(storeId));
        allConfirmed &&= answered;
      }
    }
    if (allConfirmed) {
      this.fence.confirmedByStore(askedAt);
    }
  }

  /** Takes vacant positions up to a fair share, and gives up what exceeds it. */
  async #balance({ positions: stored, storeId }: PositionReading): Promise<number> {
    const servingHolders = this.#servingCount();
    const fairMost = Math.ceil(stored.length / servingHolders);
    const fairLeast = Math.max(1, Math.floor(stored.length / servingHolders));
    const claimable = this.#byNearness(stored.filter((position) => this.#isClaimable(position)));
    // One at a time: those who start together get to know one another before any takes much.
    const [next] = claimable;
    if (next !== undefined && this.positions.length < fairMost) {
      await this.#claim(next, storeId);
    }
    const excess = this.positions.length - fairMost;
    for (const index of this.positions.slice(0, Math.max(0, excess))) {
      this.#tasks.start('give up position', () => this.#giveUp(index));
    }
    if (this.positions.length < fairLeast || claimable.length > 0 || excess > 0) {
      return CLAIM_PAUSE_MILLISECONDS;
    }
    return this.#hasAbsentHolder(stored) ? WAITING_PAUSE_MILLISECONDS : REST_PAUSE_MILLISECONDS;
  }

  /** Whether a position will come free before long: its holder leaves, or seems dead. */
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
    // What the holder before had lent out may still be in use by its borrowers.
    const wait = wasVacant ? 0 : longestUseMilliseconds();
    this.#held.set(index, { usableFrom: clock.now() + wait });
    this.#heldChanged();
    logger.info('position taken', { position: index, wasVacant });
  }

  /**
   * Stops using a position, waits until nothing begun under it can go on, then vacates it. It is no
   * longer held before the write: should the reply be lost, it is taken anew like any other.
   */
  async #giveUp(index: number): Promise<void> {
    const { clock, usageFits } = this.#options;
    this.#givingUp.add(index);
    this.#heldChanged();
    while (!usageFits() && !this.#tasks.stopped) {
      await clock.sleep(GIVE_UP_CHECK_MILLISECONDS, this.#tasks.signal);
    }
    const reading = await this.#records.read();
    const stored = reading?.positions.find(({ position }) => position.index === index);
    if (!this.#tasks.stopped && stored !== undefined && this.#isOwn(stored.record)) {
      this.#held.delete(index);
      this.#heldChanged();
      await this.#records.write(stored, vacantRecord(reading?.storeId ?? ''));
    }
    this.#givingUp.delete(index);
    this.#heldChanged();
  }

  /** Only a daemon whose own positions are valid may bear witness, or promise not to. */
  #vouchingPositions(): number[] {
    return !this.#stopping && this.fence.isValid(this.#positions) ? [...this.#positions] : [];
  }

  /** Positions whose loans by an earlier holder are over. */
  #usablePositions(): readonly number[] {
    const now = this.#options.clock.now();
    if (now >= this.#allUsableFrom) {
      return this.#positions;
    }
    return this.#positions.filter((index) => (this.#held.get(index)?.usableFrom ?? 0) <= now);
  }

  /** Works out anew what follows from the positions held; called after each change of them. */
  #heldChanged(): void {
    this.#positions = [...this.#held.keys()].filter((index) => !this.#givingUp.has(index));
    this.#allUsableFrom = Math.max(0, ...[...this.#held.values()].map((held) => held.usableFrom));
  }

  /** Vacant, left by an earlier self, or its own by a write whose reply was lost. */
  #isClaimable({ position, record, isDoubtful }: StoredPosition): boolean {
    if (this.#held.has(position.index) || isDoubtful) {
      return false;
    }
    return record.holder === null || this.#isEarlierSelf(record) || this.#isOwn(record);
  }

  /** The process before this one on the same host and address: it is gone, or this would not run. */
  #isEarlierSelf({ holder }: PositionRecord): boolean {
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

  #byNearness(positions: readonly StoredPosition[]): StoredPosition[] {
    const { membership, random } = this.#options;
    const { failureDomain, region } = membership.self;
    const distance = ({ position, record }: StoredPosition): number => {
      if (this.#isEarlierSelf(record)) {
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
