import type {
  EntryHostRecord,
  FleetChange,
  FleetChanges,
  FleetRecord,
  FleetStore,
  FleetStoreFailure,
  HostLease,
  SuspectRecord,
  SuspectWrite,
} from '@ferrylock/entry';
import type { Clock } from '@ferrylock/utils';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Time of an ordinary call, each way. */
const WAY_MILLISECONDS = 2;
const AWAY = { kind: 'unknown', message: 'no answer' } as const;

/** What the store holds at one time, to be put back later. */
export interface MemoryStoreCopy {
  readonly entries: ReadonlyMap<string, FleetChange>;
  readonly history: readonly FleetChange[];
  readonly leases: ReadonlyMap<number, { readonly key: string }>;
  readonly revision: number;
  readonly nextLease: number;
}

/** What a lease of the copy lasts from the store's return on. */
const RETURNED_LEASE_MILLISECONDS = 12_000;
/** Kinds of records that the operator and the targets write, and write again after the store's return. */
const FOREIGN_KINDS: ReadonlySet<string> = new Set(['configuration', 'evacuation', 'target']);

/** The platform's store as entry hosts use it, in memory and by an injected clock. */
export class MemoryFleetStore implements FleetStore {
  /** Calls taken so far, by kind. */
  readonly calls = { list: 0, watch: 0, write: 0, renew: 0, find: 0 };
  /** How often it came back from a copy, as its answers say it; undefined where they say nothing. */
  epoch: number | undefined = 1;
  /** When a lease was renewed that was not known to be of the present life. */
  readonly formerLeaseCalls: number[] = [];
  #isAway = false;
  /** How often the waiting watches were cut. */
  #watchCuts = 0;
  readonly #clock: Clock;
  readonly #pageItems: number;
  readonly #entries = new Map<string, FleetChange>();
  readonly #history: FleetChange[] = [];
  readonly #waiting = new Set<() => void>();
  readonly #leases = new Map<number, { key: string; cancel: () => void }>();
  #revision = 1;
  #historyAfter = 0;
  #nextLease = 1;

  /** @param pageItems - items in one page of a listing; pages are read one after the other */
  constructor(clock: Clock, pageItems = Infinity) {
    this.#clock = clock;
    this.#pageItems = pageItems;
  }

  /** Writes as the operator or a target does. */
  put(key: string, record: FleetRecord): void {
    this.#change({ key, revision: ++this.#revision, record });
  }

  remove(key: string): void {
    if (this.#entries.has(key)) {
      this.#change({ key, revision: ++this.#revision });
    }
  }

  /** Answers nobody from now on, and cuts watches; or answers again. */
  setAway(isAway: boolean): void {
    this.#isAway = isAway;
    this.#wakeAll();
  }

  /** Ends the waiting watches without an answer; all other calls are answered. */
  cutWatches(): void {
    this.#watchCuts++;
    this.#wakeAll();
  }

  /** Forgets what led to the present state. */
  forgetHistory(): void {
    this.#history.length = 0;
    this.#historyAfter = this.#revision;
  }

  /** A copy of all that it holds now. */
  takeCopy(): MemoryStoreCopy {
    return {
      entries: new Map(this.#entries),
      history: [...this.#history],
      leases: new Map(this.#leases),
      revision: this.#revision,
      nextLease: this.#nextLease,
    };
  }

  /**
   * Comes back from a copy: what was written since is gone, leases too; revisions and numbers of leases count from the
   * copy's.
   *
   * @returns what writes again what the operator and the targets had written
   */
  restore(copy: MemoryStoreCopy): () => void {
    const former = this.#foreignEntries();
    for (const { cancel } of this.#leases.values()) {
      cancel();
    }
    this.#leases.clear();
    this.#entries.clear();
    for (const [key, entry] of copy.entries) {
      this.#entries.set(key, entry);
    }
    this.#history.splice(0, Infinity, ...copy.history);
    this.#revision = copy.revision;
    this.#nextLease = copy.nextLease;
    this.epoch = this.epoch === undefined ? undefined : this.epoch + 1;
    for (const [id, { key }] of copy.leases) {
      this.#keep(id, key, RETURNED_LEASE_MILLISECONDS);
    }
    this.#wakeAll();
    return () => {
      this.#writeAgain(former);
    };
  }

  #foreignEntries(): Map<string, FleetRecord> {
    const foreign = new Map<string, FleetRecord>();
    for (const { key, record } of this.#entries.values()) {
      if (record !== undefined && FOREIGN_KINDS.has(record.kind)) {
        foreign.set(key, record);
      }
    }
    return foreign;
  }

  #writeAgain(former: ReadonlyMap<string, FleetRecord>): void {
    for (const key of this.#foreignEntries().keys()) {
      if (!former.has(key)) {
        this.remove(key);
      }
    }
    for (const [key, record] of former) {
      if (JSON.stringify(this.#entries.get(key)?.record) !== JSON.stringify(record)) {
        this.put(key, record);
      }
    }
  }

  async list(): Promise<Result<FleetChanges, FleetStoreFailure>> {
    this.calls.list++;
    await this.#clock.sleep(WAY_MILLISECONDS);
    if (this.#isAway) {
      return Err(AWAY);
    }
    const { epoch } = this;
    const revision = this.#revision;
    const changes: FleetChange[] = [];
    let page = this.#page();
    await this.#clock.sleep(WAY_MILLISECONDS);
    while (page.length === this.#pageItems) {
      changes.push(...page);
      await this.#clock.sleep(WAY_MILLISECONDS);
      page = this.#page(page.at(-1)?.key);
      await this.#clock.sleep(WAY_MILLISECONDS);
      if (this.#isUnreachable(epoch)) {
        return Err(AWAY);
      }
    }
    return Ok({ epoch, revision, changes: [...changes, ...page] });
  }

  /** Items that follow a key, in the order of keys; all of them if listings have one page. */
  #page(after = ''): FleetChange[] {
    const items = [...this.#entries.values()];
    if (this.#pageItems === Infinity) {
      return items;
    }
    const following = items.filter(({ key }) => key > after);
    following.sort((one, other) => (one.key < other.key ? -1 : 1));
    return following.slice(0, this.#pageItems);
  }

  /** Whether the store is away or was restored since it had this epoch. */
  #isUnreachable(epoch: number | undefined): boolean {
    return this.#isAway || this.epoch !== epoch;
  }

  async waitForChanges(
    afterRevision: number,
    waitMilliseconds: number,
  ): Promise<Result<FleetChanges, FleetStoreFailure>> {
    this.calls.watch++;
    await this.#clock.sleep(WAY_MILLISECONDS);
    const { epoch: askedIn } = this;
    const cutsBefore = this.#watchCuts;
    if (!this.#isAway && this.#revision === afterRevision) {
      await this.#nextChange(waitMilliseconds);
    }
    if (this.#isAway || this.epoch !== askedIn || this.#watchCuts !== cutsBefore) {
      return Err(AWAY);
    }
    const { epoch } = this;
    if (this.#revision < afterRevision || afterRevision < this.#historyAfter) {
      return Err({ kind: 'history-lost', message: 'no such revision', epoch });
    }
    const revision = this.#revision;
    const changes = this.#history.filter((change) => change.revision > afterRevision);
    await this.#clock.sleep(WAY_MILLISECONDS);
    return Ok({ epoch, revision, changes });
  }

  async register(
    host: EntryHostRecord,
    milliseconds: number,
  ): Promise<Result<HostLease, FleetStoreFailure>> {
    this.calls.write += 2;
    await this.#clock.sleep(2 * WAY_MILLISECONDS);
    if (this.#isAway) {
      return Err(AWAY);
    }
    const id = this.#nextLease++;
    const key = `hosts/${host.name}`;
    this.#keep(id, key, milliseconds);
    this.put(key, { kind: 'entryHost', host });
    const lease = { id, milliseconds, key, revision: this.#revision, epoch: this.epoch };
    await this.#clock.sleep(WAY_MILLISECONDS);
    return Ok(lease);
  }

  async renew(held: HostLease): Promise<Result<HostLease, FleetStoreFailure>> {
    const { id, milliseconds } = held;
    this.calls.renew++;
    await this.#clock.sleep(2 * WAY_MILLISECONDS);
    if (this.#isAway) {
      return Err(AWAY);
    }
    this.#countFormer(held);
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return Err({ kind: 'lease-over', message: 'no such lease', epoch: this.epoch });
    }
    lease.cancel();
    this.#keep(id, lease.key, milliseconds);
    return Ok({ ...held, epoch: this.epoch });
  }

  async findLease(
    host: EntryHostRecord,
    held: HostLease,
  ): Promise<Result<HostLease | undefined, FleetStoreFailure>> {
    this.calls.find++;
    await this.#clock.sleep(2 * WAY_MILLISECONDS);
    if (this.#isAway) {
      return Err(AWAY);
    }
    const entry = this.#entries.get(held.key);
    const isHeld =
      this.#leases.get(held.id)?.key === held.key &&
      entry?.record?.kind === 'entryHost' &&
      entry.record.host.incarnation === host.incarnation;
    return Ok(isHeld ? { ...held, revision: entry.revision, epoch: this.epoch } : undefined);
  }

  async writeSuspect(
    suspect: SuspectRecord,
    { revision, epoch = this.epoch, leaseMilliseconds }: SuspectWrite,
  ): Promise<Result<void, FleetStoreFailure>> {
    this.calls.write += 2;
    await this.#clock.sleep(2 * WAY_MILLISECONDS);
    if (this.#isAway) {
      return Err(AWAY);
    }
    const key = `suspects/${suspect.fingerprint}`;
    const isOfThisLife = this.epoch === undefined || epoch === this.epoch;
    if (!isOfThisLife || (this.#entries.get(key)?.revision ?? 0) !== revision) {
      return Err({ kind: 'not-done', message: 'another revision' });
    }
    for (const [id, lease] of this.#leases) {
      if (lease.key === key) {
        lease.cancel();
        this.#leases.delete(id);
      }
    }
    this.#keep(this.#nextLease++, key, leaseMilliseconds);
    this.put(key, { kind: 'suspect', suspect });
    await this.#clock.sleep(WAY_MILLISECONDS);
    return Ok(undefined);
  }

  async release(lease: HostLease): Promise<Result<void, FleetStoreFailure>> {
    this.calls.write++;
    await this.#clock.sleep(WAY_MILLISECONDS);
    if (this.#isAway) {
      return Err(AWAY);
    }
    if (this.#entries.get(lease.key)?.revision === lease.revision) {
      this.remove(lease.key);
    }
    return Ok(undefined);
  }

  /** Lets all leases lapse at once. */
  lapseLeases(): void {
    for (const id of [...this.#leases.keys()]) {
      this.#end(id);
    }
  }

  #countFormer(lease: HostLease): void {
    if (lease.epoch !== this.epoch) {
      this.formerLeaseCalls.push(this.#clock.now());
    }
  }

  #keep(id: number, key: string, milliseconds: number): void {
    const cancel = this.#clock.after(milliseconds, () => {
      this.#end(id);
    });
    this.#leases.set(id, { key, cancel });
  }

  #end(id: number): void {
    const lease = this.#leases.get(id);
    if (lease !== undefined) {
      lease.cancel();
      this.#leases.delete(id);
      this.remove(lease.key);
    }
  }

  #change(change: FleetChange): void {
    if (change.record === undefined) {
      this.#entries.delete(change.key);
    } else {
      this.#entries.set(change.key, change);
    }
    this.#history.push(change);
    this.#wakeAll();
  }

  #wakeAll(): void {
    for (const wake of [...this.#waiting]) {
      wake();
    }
  }

  #nextChange(waitMilliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        cancel();
        this.#waiting.delete(wake);
        resolve();
      };
      const cancel = this.#clock.after(waitMilliseconds, wake);
      this.#waiting.add(wake);
    });
  }
}
