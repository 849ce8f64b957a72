import type {
  KeyValueStore,
  StoredValue,
  StoreFailure,
  StoreListing,
  StoreRevisions,
  StoreState,
  Swap,
  SwapOutcome,
  WatchOptions,
} from '@ferrylock/platform';
import type { Clock } from '@ferrylock/utils';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { KeyValueEngine } from './key-value-engine.js';
import { ProcessPause } from './process-pause.js';

/** One daemon's way to a shared in-memory store, which can be cut for that daemon alone. */
export class FakeStore implements KeyValueStore {
  /** Whether this daemon is cut off from the store while others may reach it. */
  cutOff = false;
  readonly #cutWatches = new Set<() => void>();

  constructor(
    readonly engine: KeyValueEngine,
    readonly clock: Clock,
    readonly process = new ProcessPause(),
  ) {}

  /** Cuts this daemon off, its watches included, or connects it again. */
  setCutOff(cutOff: boolean): void {
    this.cutOff = cutOff;
    if (cutOff) {
      [...this.#cutWatches].forEach((cut) => {
        cut();
      });
    }
  }

  async get(key: string): Promise<Result<StoredValue | undefined, StoreFailure>> {
    return this.#read(() => this.engine.get(key));
  }

  async list(prefix: string): Promise<Result<StoreListing, StoreFailure>> {
    return this.#read(() => this.engine.list(prefix));
  }

  async revisions(prefix: string): Promise<Result<StoreRevisions, StoreFailure>> {
    return this.#read(() => {
      const { values, ...state } = this.engine.list(prefix);
      return { ...state, revisions: new Map(values.map(({ key, revision }) => [key, revision])) };
    });
  }

  async state(): Promise<Result<StoreState, StoreFailure>> {
    return this.#read(() => this.engine.state);
  }

  async compareAndSwap(swap: Swap): Promise<Result<SwapOutcome, StoreFailure>> {
    this.engine.calls.writes++;
    await this.#delay();
    if (this.#unreachable()) {
      return Err({ message: 'store is down', mayHaveTakenEffect: false });
    }
    const outcome = this.engine.compareAndSwap(swap);
    await this.process.wait();
    if (this.engine.faults.loseWriteReplies) {
      return Err({ message: 'reply lost', mayHaveTakenEffect: true });
    }
    return Ok(outcome);
  }

  watch(options: WatchOptions): Promise<StoreFailure> {
    this.engine.calls.watches++;
    if (this.#unreachable()) {
      return Promise.resolve({ message: 'store is down', mayHaveTakenEffect: false });
    }
    return new Promise((resolve) => {
      const end = (message: string): void => {
        stop();
        this.#cutWatches.delete(cut);
        resolve({ message, mayHaveTakenEffect: false });
      };
      const cut = (): void => {
        end('watch cut');
      };
      const stop = this.engine.watch(
        options.prefix,
        options.fromRevision,
        (events) => {
          void this.process.wait().then(() => {
            options.onEvents(events);
          });
        },
        cut,
      );
      this.#cutWatches.add(cut);
      options.signal.addEventListener(
        'abort',
        () => {
          end('stopped');
        },
        { once: true },
      );
    });
  }

  async #read<T>(read: () => T): Promise<Result<T, StoreFailure>> {
    this.engine.calls.reads++;
    await this.#delay();
    const answer = this.#unreachable() ? undefined : { value: read() };
    await this.process.wait();
    return answer === undefined
      ? Err({ message: 'store is down', mayHaveTakenEffect: false })
      : Ok(answer.value);
  }

  async #delay(): Promise<void> {
    if (this.engine.faults.slowMilliseconds > 0) {
      await this.clock.sleep(this.engine.faults.slowMilliseconds);
    }
  }

  #unreachable(): boolean {
    return this.cutOff || this.engine.faults.down;
  }
}
