import type { DisabledMechanisms } from '@ferrylock/routing';
import { BackgroundTasks, jittered } from '@ferrylock/utils';
import type { Clock, Random } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { FleetChange } from './fleet-record.js';
import type { FleetStore, FleetStoreFailure } from './fleet-store.js';
import type { FleetView } from './fleet-view.js';
import type { StoreHealth } from './store-health.js';
import type { StorePosition } from './store-position.js';
import { epochOf, isAfter } from './store-position.js';
import { epochOfResponse, epochOfListing, StoreProgress } from './store-progress.js';

/** How long a watch waits at the store. Its end confirms that the store and the way to it work. */
const WAIT_MILLISECONDS = 1_000;
/** An answer that is read no later than this after the wait was not held up on the way. */
const PROMPT_MILLISECONDS = 500;
/** Longest that a prompt answer was under way. */
const TRANSIT_MILLISECONDS = 100;
/** Pause after changes, so that those made in quick succession come in one answer. */
const BATCH_MILLISECONDS = 20;
/** Pause of a host that leaves the watching to others, before it looks again. */
const IDLE_MILLISECONDS = 250;
/** First pause after a failed call. */
const RETRY_MILLISECONDS = 250;
/** Between two times that a host reads everything, whatever the store answers. */
const LISTING_PAUSE_MILLISECONDS = 500;

export interface StoreWatchOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly store: FleetStore;
  readonly view: FleetView;
  readonly health: StoreHealth;
  readonly disabledMechanisms: DisabledMechanisms;
  /** Whether this host is to wait at the store now, rather than hear from others who do. */
  readonly isWatcher: () => boolean;
  /** How long this host lets others go before it reads everything anew, in milliseconds. */
  readonly relistDelayMilliseconds: () => number;
  /**
   * Asks other hosts what they know beyond the first listing of a host that starts: of a store that came back from a copy, they
   * may know more than it holds. The function given back takes it over.
   */
  readonly queryPeers: (
    position: StorePosition,
    listed: readonly FleetChange[],
  ) => Promise<() => void>;
}

/** What the store answered, and when. */
interface StoreResponse {
  readonly source: 'list' | 'watch';
  readonly confirmedAt: number;
  readonly changes: readonly FleetChange[];
}

/** Keeps the view up to date from the store itself, while this host is one of those who watch. */
export class StoreWatch {
  readonly #options: StoreWatchOptions;
  readonly #tasks: BackgroundTasks;
  #listedAt = -Infinity;
  /** What the store told, whether it was taken over or not. */
  readonly progress: StoreProgress;

  constructor(options: StoreWatchOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options.events.logger);
    this.progress = new StoreProgress(options.events);
  }

  start(): void {
    this.#tasks.start('store watch', (signal) => this.#run(signal));
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { clock, random, isWatcher: isNeeded, view } = this.#options;
    while (!signal.aborted) {
      if (!isNeeded()) {
        await clock.sleep(IDLE_MILLISECONDS, signal);
        continue;
      }
      const asked = view.isEmpty ? await this.#list() : await this.#wait(signal);
      const failure = asked?.kind === 'history-lost' ? await this.#relist(signal) : asked;
      if (failure !== undefined) {
        await clock.sleep(jittered(random, RETRY_MILLISECONDS), signal);
      }
    }
  }

  /**
   * Reads everything, in this host's turn. Hosts that come later mostly hear of it from those before, and the store is not asked
   * for everything by all of them at once, nor again and again by one.
   */
  async #relist(signal: AbortSignal): Promise<FleetStoreFailure | undefined> {
    const {
      clock,
      random,
      view,
      relistDelayMilliseconds: turnMilliseconds,
      disabledMechanisms: leftOut,
    } = this.#options;
    if (leftOut.has('reading-in-turns')) {
      return this.#list();
    }
    const known = view.position;
    const rest = this.#listedAt + jittered(random, LISTING_PAUSE_MILLISECONDS) - clock.now();
    await clock.sleep(Math.max(turnMilliseconds(), rest), signal);
    return isAfter(view.position, known) || signal.aborted ? undefined : this.#list();
  }

  /** Reads everything. */
  async #list(): Promise<FleetStoreFailure | undefined> {
    const {
      clock,
      store,
      view,
      queryPeers: askOthers,
      disabledMechanisms: leftOut,
    } = this.#options;
    const askedAt = clock.now();
    const known = view.position;
    this.#listedAt = askedAt;
    const listing = await store.list();
    if (listing.isErr()) {
      return this.#failed('list', listing.error);
    }
    const { revision } = listing.value;
    const epoch = leftOut.has('store-lives')
      ? epochOf(known)
      : epochOfListing(listing.value, known);
    const changes = listing.value.changes.map((change) => ({ ...change, epoch }));
    const takeTold = view.isEmpty ? await askOthers({ epoch, revision }, changes) : undefined;
    const knownRevision = view.revision;
    this.progress.record(listing.value, knownRevision);
    const isTaken = view.replace({ epoch, revision }, changes);
    takeTold?.();
    this.progress.recordListing(isTaken, knownRevision);
    this.#succeeded({ epoch, revision }, { source: 'list', confirmedAt: askedAt, changes });
    return undefined;
  }

  async #wait(signal: AbortSignal): Promise<FleetStoreFailure | undefined> {
    const { clock, store, view, disabledMechanisms: leftOut } = this.#options;
    const askedAt = clock.now();
    const after = view.position;
    const answer = await store.waitForChanges(after.revision, WAIT_MILLISECONDS);
    if (answer.isErr()) {
      return this.#failed('watch', answer.error);
    }
    const { revision } = answer.value;
    const told = leftOut.has('store-lives') ? undefined : answer.value.epoch;
    const epoch = epochOfResponse(told, after);
    this.progress.record(answer.value, view.revision);
    if (epoch !== epochOf(after) || revision < after.revision) {
      // The numbers after which changes were asked for are of another life than the answer's.
      return { kind: 'history-lost', message: 'the store has come back from a copy' };
    }
    const changes = answer.value.changes.map((change) => ({ ...change, epoch }));
    const [afterEpoch, afterRevision] = [epoch, after.revision];
    view.apply({ afterEpoch, afterRevision, epoch, revision, changes });
    const confirmedAt = answeredAt(askedAt, clock.now());
    this.#succeeded({ epoch, revision }, { source: 'watch', confirmedAt, changes });
    if (changes.length > 0) {
      await clock.sleep(BATCH_MILLISECONDS, signal);
    }
    return undefined;
  }

  #succeeded(position: StorePosition, { source, confirmedAt, changes }: StoreResponse): void {
    const { view, health, events } = this.#options;
    if (view.epoch === epochOf(position)) {
      view.confirm(view.lastChange, confirmedAt);
    }
    health.recordSuccess(confirmedAt);
    if (changes.length > 0) {
      const keys = changes.map(({ key }) => key);
      events.write({ event: 'view', source, revision: position.revision, changes: keys });
    }
  }

  #failed(call: string, failure: FleetStoreFailure): FleetStoreFailure {
    this.progress.record({ epoch: failure.epoch }, this.#options.view.revision);
    if (failure.kind !== 'history-lost') {
      this.#options.health.recordFailure(call, failure.message);
    }
    return failure;
  }
}

/**
 * When the store gave an answer that is read now. One that may have lain unread, as while this
 * process did not run, counts from when it was asked for.
 */
function answeredAt(askedAt: number, now: number): number {
  const isPrompt = now - askedAt <= WAIT_MILLISECONDS + PROMPT_MILLISECONDS;
  return isPrompt ? Math.max(askedAt, now - TRANSIT_MILLISECONDS) : askedAt;
}
