import type {
  EntryHostRecord,
  FleetChanges,
  FleetStore,
  FleetStoreFailure,
  HostLease,
} from '@ferrylock/entry';
import type { Clock } from '@ferrylock/utils';
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Time after which a call without an answer counts as lost. */
const TIMEOUT_MILLISECONDS = 900;
/** Time after which an answer that comes in slowly counts as lost. */
const MAX_ANSWER_MILLISECONDS = 3_000;

/** One host's way to a store that all share, which can be cut for that host alone. */
export class WayToStore implements FleetStore {
  isCut = false;

  constructor(
    readonly store: FleetStore,
    readonly clock: Clock,
    /** Milliseconds until this host has received so many bytes. */
    readonly receive: (bytes: number) => number = () => 0,
  ) {}

  list: FleetStore['list'] = () => this.#read(() => this.store.list());

  waitForChanges: FleetStore['waitForChanges'] = (...call) =>
    this.#read(() => this.store.waitForChanges(...call));

  register = (host: EntryHostRecord, leaseMilliseconds: number) =>
    this.#call(() => this.store.register(host, leaseMilliseconds));

  renew: FleetStore['renew'] = (lease) => this.#call(() => this.store.renew(lease));

  findLease: FleetStore['findLease'] = (...call) => this.#call(() => this.store.findLease(...call));

  writeSuspect: FleetStore['writeSuspect'] = (...call) =>
    this.#call(() => this.store.writeSuspect(...call));

  release = (lease: HostLease) => this.#call(() => this.store.release(lease));

  /** An answer that takes too long to come in is lost. */
  #read(call: FleetStore['list']): ReturnType<FleetStore['list']> {
    return this.#call(async () => {
      const answer = await call();
      const milliseconds = answer.isOk() ? this.receive(encodedBytes(answer.value)) : 0;
      if (milliseconds > MAX_ANSWER_MILLISECONDS) {
        return Err({ kind: 'unknown', message: 'no answer' });
      }
      if (milliseconds > 0) {
        await this.clock.sleep(milliseconds);
      }
      return answer;
    });
  }

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

/** Values travel in base64. */
function encodedBytes({ changes }: FleetChanges): number {
  return (JSON.stringify(changes).length * 4) / 3;
}
