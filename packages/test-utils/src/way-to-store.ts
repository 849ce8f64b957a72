import type { EntryHostRecord, FleetStore, FleetStoreFailure, HostLease } from '@ferrylock/entry';
import type { Clock } from '@ferrylock/utils';
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Time after which a call without an answer counts as lost. */
const TIMEOUT_MILLISECONDS = 900;

/** One host's way to a store that all share, which can be cut for that host alone. */
export class WayToStore implements FleetStore {
  isCut = false;

  constructor(
    readonly store: FleetStore,
    readonly clock: Clock,
  ) {}

  list: FleetStore['list'] = () => this.#call(() => this.store.list());

  waitForChanges: FleetStore['waitForChanges'] = (...call) =>
    this.#call(() => this.store.waitForChanges(...call));

  register = (host: EntryHostRecord, leaseMilliseconds: number) =>
    this.#call(() => this.store.register(host, leaseMilliseconds));

  renew: FleetStore['renew'] = (lease) => this.#call(() => this.store.renew(lease));

  findLease: FleetStore['findLease'] = (...call) => this.#call(() => this.store.findLease(...call));

  writeSuspect: FleetStore['writeSuspect'] = (...call) =>
    this.#call(() => this.store.writeSuspect(...call));

  release = (lease: HostLease) => this.#call(() => this.store.release(lease));

  /** An answer that comes while the way is cut is lost too. */
  async #call<T>(
    call: () => Promise<Result<T, FleetStoreFailure>>,
  ): Promise<Result<T, FleetStoreFailure>> {
    const answer = this.isCut ? undefined : await call();
    if (answer === undefined || this.isCut) {
      await this.clock.sleep(TIMEOUT_MILLISECONDS);
      return Err({ kind: 'unknown', message: 'no answer' });
    }
    return answer;
  }
}
