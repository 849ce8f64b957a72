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

/** The platform's store as entry hosts use it, in memory and by an injected clock. */
export class MemoryFleetStore implements FleetStore {
  /** Calls taken so far, by kind. */
  readonly calls = { list: 0, watch: 0, write: 0, renew: 0 };
  readonly #clock: Clock;
  readonly #entries = new Map<string, FleetChange>();
  readonly #history: FleetChange[] = [];
  readonly #waiting = new Set<() => void>();
  readonly #leases = new Map<number, { key: string; cancel: () => void }>();
  #revision = 1;
  #nextLease = 1;

  constructor(clock: Clock) {
    this.#clock = clock;
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

  async list(): Promise<Result<FleetChanges, FleetStoreFailure>> {
    this.calls.list++;
    await this.#clock.sleep(WAY_MILLISECONDS);
    const listed = { revision: this.#revision, changes: [...this.#entries.values()] };
    await this.#clock.sleep(WAY_MILLISECONDS);
    return Ok(listed);
  }

  async waitForChanges(
    afterRevision: number,
    waitMilliseconds: number,
  ): Promise<Result<FleetChanges, FleetStoreFailure>> {
    this.calls.watch++;
    await this.#clock.sleep(WAY_MILLISECONDS);
    if (this.#revision <= afterRevision) {
      await this.#nextChange(waitMilliseconds);
    }
    const revision = this.#revision;
    const changes = this.#history.filter((change) => change.revision > afterRevision);
    await this.#clock.sleep(WAY_MILLISECONDS);
    return Ok({ revision, changes });
  }

  async register(
    host: EntryHostRecord,
    milliseconds: number,
  ): Promise<Result<HostLease, FleetStoreFailure>> {
    this.calls.write += 2;
    await this.#clock.sleep(2 * WAY_MILLISECONDS);
    const id = this.#nextLease++;
    const key = `hosts/${host.name}`;
    this.#keep(id, key, milliseconds);
    this.put(key, { kind: 'entryHost', host });
    await this.#clock.sleep(WAY_MILLISECONDS);
    return Ok({ id, milliseconds });
  }

  async renew({ id, milliseconds }: HostLease): Promise<Result<void, FleetStoreFailure>> {
    this.calls.renew++;
    await this.#clock.sleep(2 * WAY_MILLISECONDS);
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return Err({ kind: 'lease-over', message: 'no such lease' });
    }
    lease.cancel();
    this.#keep(id, lease.key, milliseconds);
    return Ok(undefined);
  }

  async writeSuspect(
    suspect: SuspectRecord,
    { revision, leaseMilliseconds }: SuspectWrite,
  ): Promise<Result<void, FleetStoreFailure>> {
    this.calls.write += 2;
    await this.#clock.sleep(2 * WAY_MILLISECONDS);
    const key = `suspects/${suspect.fingerprint}`;
    if ((this.#entries.get(key)?.revision ?? 0) !== revision) {
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

  async release({ id }: HostLease): Promise<Result<void, FleetStoreFailure>> {
    this.calls.write++;
    await this.#clock.sleep(WAY_MILLISECONDS);
    this.#end(id);
    return Ok(undefined);
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
