import type {
  StoredValue,
  StoreEvent,
  StoreListing,
  StoreState,
  Swap,
  SwapOutcome,
} from '@ferrylock/platform';

type EventListener = (events: readonly StoreEvent[]) => void;

interface Watcher {
  readonly prefix: string;
  readonly listener: EventListener;
  readonly cut: () => void;
}

/** What a key-value stand-in can be made to do wrong. */
export interface StoreFaults {
  /** Every call fails before it has an effect, and watches end. */
  down: boolean;
  /** Milliseconds added to every call. */
  slowMilliseconds: number;
  /** Writes take effect, and their replies are lost. */
  loseWriteReplies: boolean;
}

/** A key-value stand-in's state at one time. */
export interface StoreBackup {
  readonly values: ReadonlyMap<string, StoredValue>;
  readonly revision: number;
}

/** Calls that reached a key-value stand-in. */
export interface StoreCallCounts {
  reads: number;
  writes: number;
  watches: number;
}

/** The state of a key-value stand-in: values with revisions, and those who watch them. */
export class KeyValueEngine {
  readonly faults: StoreFaults = { down: false, slowMilliseconds: 0, loseWriteReplies: false };
  readonly calls: StoreCallCounts = { reads: 0, writes: 0, watches: 0 };
  #values = new Map<string, StoredValue>();
  #events: StoreEvent[] = [];
  readonly #watchers = new Set<Watcher>();
  #revision = 1;
  #storeId = 1;

  get state(): StoreState {
    return { storeId: String(this.#storeId), revision: this.#revision };
  }

  get watcherCount(): number {
    return this.#watchers.size;
  }

  get(key: string): StoredValue | undefined {
    return this.#values.get(key);
  }

  list(prefix: string): StoreListing {
    const values = [...this.#values.values()].filter((value) => value.key.startsWith(prefix));
    values.sort((a, b) => (a.key < b.key ? -1 : 1));
    return { ...this.state, values };
  }

  compareAndSwap(swap: Swap): SwapOutcome {
    const current = this.#values.get(swap.key);
    if ((current?.revision ?? 0) !== swap.expectedRevision) {
      return { swapped: false, current };
    }
    this.#revision++;
    const events = [{ key: swap.key, value: swap.value }, ...(swap.alongside ?? [])].map(
      ({ key, value }) => this.#put(key, value),
    );
    this.#notify(events);
    return { swapped: true, revision: this.#revision };
  }

  /** Calls the listener for each change from the revision on; returns what ends the watch. */
  watch(
    prefix: string,
    fromRevision: number,
    listener: EventListener,
    cut: () => void,
  ): () => void {
    const watcher: Watcher = { prefix, listener, cut };
    const missed = this.#events.filter(
      (event) => event.revision >= fromRevision && event.key.startsWith(prefix),
    );
    if (missed.length > 0) {
      listener(missed);
    }
    this.#watchers.add(watcher);
    return () => this.#watchers.delete(watcher);
  }

  /** Ends every watch, as a restart of the store would. */
  cutWatches(): void {
    for (const watcher of [...this.#watchers]) {
      this.#watchers.delete(watcher);
      watcher.cut();
    }
  }

  setDown(down: boolean): void {
    this.faults.down = down;
    if (down) {
      this.cutWatches();
    }
  }

  /** A copy of the whole state, to be put back later. */
  backUp(): StoreBackup {
    return { values: new Map(this.#values), revision: this.#revision };
  }

  /**
   * Puts an earlier state back; as with etcd, the store is then another one, unless its members are set up as they were.
   */
  restore({ values, revision }: StoreBackup, { keepsId = false } = {}): void {
    this.#values = new Map(values);
    this.#revision = revision;
    this.#storeId += keepsId ? 0 : 1;
    this.#events = [];
    this.cutWatches();
  }

  #put(key: string, value: string): StoreEvent {
    const stored = { key, value, revision: this.#revision };
    this.#values.set(key, stored);
    this.#events.push(stored);
    return stored;
  }

  #notify(events: readonly StoreEvent[]): void {
    for (const watcher of [...this.#watchers]) {
      const seen = events.filter((event) => event.key.startsWith(watcher.prefix));
      if (seen.length > 0) {
        watcher.listener(seen);
      }
    }
  }
}
