import { Throttle } from '@ferrylock/utils';
import type { BackgroundTasks, Clock } from '@ferrylock/utils';
import { createTasks } from '../create-tasks.js';
import type { EventLog } from '../event-log.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { StorePosition } from '../fleet/store-position.js';
import { epochOf, isAfter } from '../fleet/store-position.js';
import type { PeerCalls } from './peer-calls.js';
import type { DeltaParams, DeltaResult } from './peer-messages.js';

/** Minimum interval between calls to peers; batches rapid changes, as when all hosts start. */
const MIN_FETCH_INTERVAL_MILLISECONDS = 150;
/** Peers that are asked at a time; the paths to some may be broken. */
const MAX_PENDING_FETCHES = 3;
/** Interval between log lines about failed calls. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

export interface ViewExchangeOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly view: FleetView;
  readonly client: PeerCalls;
  /** Time of the store's last response to this host itself, in monotonic milliseconds. */
  readonly storeAnsweredAt: () => number;
}

/** A change that a peer has and this host lacks. */
export interface MissingChange {
  readonly revision: number;
  /** Time since this host was first told of a change that it lacks. */
  readonly milliseconds: number;
}

/** Serves store changes to peers over RPC and fetches changes from them. */
export class ViewExchange {
  /** Number of calls to peers for changes. */
  calls = 0;
  failedCalls = 0;
  readonly #options: ViewExchangeOptions;
  readonly #throttle: Throttle;
  readonly #tasks: BackgroundTasks;
  /** Start of the call to each peer that has not answered yet, by address. */
  readonly #pendingFetches = new Map<string, number>();
  /** Newest change that a peer reported, and when this host began to lack one. */
  #reported: { readonly position: StorePosition; readonly lackingSince: number } | undefined;
  #fetchedAt = -Infinity;

  constructor(options: ViewExchangeOptions) {
    this.#options = options;
    this.#tasks = createTasks(options);
    this.#throttle = new Throttle(options.clock, LOG_INTERVAL_MILLISECONDS);
  }

  /** The newest change that a peer reported and this host lacks; undefined if there is none. */
  get missing(): MissingChange | undefined {
    const reported = this.#lacking();
    return (
      reported && {
        revision: reported.position.revision,
        milliseconds: this.#options.clock.now() - reported.lackingSince,
      }
    );
  }

  /** Time for which the oldest call without an answer has lasted; undefined if there is none. */
  get pendingMilliseconds(): number | undefined {
    const startedAt = Math.min(...this.#pendingFetches.values());
    return Number.isFinite(startedAt) ? this.#options.clock.now() - startedAt : undefined;
  }

  /** Records that a peer has a change that this host lacks. */
  recordMissing(position: StorePosition): void {
    const former = this.#lacking();
    if (former === undefined || isAfter(position, former.position)) {
      const lackingSince = former?.lackingSince ?? this.#options.clock.now();
      this.#reported = { position, lackingSince };
    }
  }

  #lacking() {
    const reported = this.#reported;
    const isLacking =
      reported !== undefined && isAfter(reported.position, this.#options.view.lastChange);
    return isLacking ? reported : undefined;
  }

  /** Returns the changes that a peer lacks, or a snapshot. */
  deltaFor({ afterRevision, afterEpoch }: DeltaParams): DeltaResult {
    const { view } = this.#options;
    const age = this.#storeAnswerAge();
    const after = { epoch: afterEpoch, revision: afterRevision };
    const isNewerEpoch = epochOf(after) > view.epoch;
    const delta = afterRevision === 0 || isNewerEpoch ? undefined : view.deltaSince(after);
    const { kept = [], ...result } = delta ?? view.snapshot();
    return {
      isWhole: delta === undefined,
      ...result,
      changes: [...result.changes],
      ...(kept.length === 0 ? {} : { kept: [...kept] }),
      ...(age === undefined ? {} : { answeredAgeMilliseconds: age }),
    };
  }

  /** Fetches and applies changes that this host lacks; returns whether it succeeded. */
  async fetchFrom(address: string): Promise<boolean> {
    const { view, clock } = this.#options;
    const requestedAt = clock.now();
    const delta = await this.ask(address, view.position);
    if (delta !== undefined) {
      this.take(address, delta, requestedAt);
    }
    return delta !== undefined;
  }

  /** Requests a peer's changes since a position; undefined if it does not answer or has none. */
  async ask(address: string, after: StorePosition): Promise<DeltaResult | undefined> {
    this.calls++;
    const result = await this.#options.client.delta(address, after);
    if (result.isErr()) {
      this.#recordFailure(address, result.error);
      return undefined;
    }
    return result.value.revision === 0 ? undefined : result.value;
  }

  /** Applies a delta that a peer returned. */
  take(address: string, delta: DeltaResult, requestedAt: number): void {
    const { view } = this.#options;
    const { isWhole, epoch, revision, changes, answeredAgeMilliseconds } = delta;
    if (isWhole) {
      view.replace({ epoch, revision }, changes, { epoch, revision: delta.lastChange ?? revision });
    } else {
      view.apply(delta);
    }
    if (answeredAgeMilliseconds !== undefined && epochOf(delta) === view.epoch) {
      const at = requestedAt - answeredAgeMilliseconds;
      const confirmed = { epoch, revision: delta.lastChange ?? revision };
      view.confirm(confirmed, { at, source: address });
    }
    this.logChanges(address, delta);
  }

  /**
   * Starts a fetch unless one is recent, this peer is being asked already, or several are; returns
   * whether it did.
   */
  fetchIfIdle(address: string): boolean {
    const now = this.#options.clock.now();
    const isRecent = now - this.#fetchedAt < MIN_FETCH_INTERVAL_MILLISECONDS;
    const pending = this.#pendingFetches;
    if (isRecent || pending.has(address) || pending.size >= MAX_PENDING_FETCHES) {
      return false;
    }
    this.#fetchedAt = now;
    pending.set(address, now);
    this.#tasks.run('fetch changes', () =>
      this.fetchFrom(address).finally(() => {
        pending.delete(address);
      }),
    );
    return true;
  }

  /** Logs the keys of changes that were received from a peer. */
  logChanges(
    source: string,
    { revision, changes }: Pick<DeltaResult, 'revision' | 'changes'>,
  ): void {
    if (changes.length > 0) {
      const keys = changes.map(({ key }) => key);
      this.#options.events.write({ event: 'view', source, revision, changes: keys });
    }
  }

  #recordFailure(address: string, detail: string): void {
    this.failedCalls++;
    if (this.#throttle.tryAdmit()) {
      const { events } = this.#options;
      events.write({ event: 'fetch-failed', address, detail, failed: this.failedCalls });
    }
  }

  #storeAnswerAge(): number | undefined {
    const { clock, storeAnsweredAt } = this.#options;
    const age = clock.now() - storeAnsweredAt();
    return Number.isFinite(age) ? Math.round(age) : undefined;
  }
}
