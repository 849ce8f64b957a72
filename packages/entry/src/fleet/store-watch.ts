import { BackgroundTasks, jittered } from '@ferrylock/utils';
import type { Clock, Random } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { FleetStore, FleetStoreFailure } from './fleet-store.js';
import type { FleetView } from './fleet-view.js';
import type { StoreHealth } from './store-health.js';
import { StoreProgress } from './store-progress.js';

/** How long a watch waits at the store. Its end confirms that the store and the way to it work. */
const WAIT_MILLISECONDS = 1_000;
/** An answer that is read no later than this after the wait was not held up on the way. */
const PROMPT_MILLISECONDS = 500;
/** Longest that a prompt answer was under way. */
const TRANSIT_MILLISECONDS = 100;
/** Pause after changes, so that those made in quick succession come in one answer. */
const GATHER_MILLISECONDS = 20;
/** Pause of a host that leaves the watching to others, before it looks again. */
const IDLE_MILLISECONDS = 250;
/** First pause after a failed call. */
const RETRY_MILLISECONDS = 250;

export interface StoreWatchOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly store: FleetStore;
  readonly view: FleetView;
  readonly health: StoreHealth;
  /** Whether this host is to wait at the store now, rather than hear from others who do. */
  readonly isNeeded: () => boolean;
}

/** Keeps the view up to date from the store itself, while this host is one of those who watch. */
export class StoreWatch {
  readonly #options: StoreWatchOptions;
  readonly #tasks: BackgroundTasks;
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
    const { clock, random, isNeeded, view } = this.#options;
    while (!signal.aborted) {
      if (!isNeeded()) {
        await clock.sleep(IDLE_MILLISECONDS, signal);
        continue;
      }
      const failure = view.isEmpty ? await this.#list() : await this.#wait(signal);
      if (failure?.kind === 'history-lost') {
        await this.#list();
      } else if (failure !== undefined) {
        await clock.sleep(jittered(random, RETRY_MILLISECONDS), signal);
      }
    }
  }

  /** Reads everything. */
  async #list(): Promise<FleetStoreFailure | undefined> {
    const { clock, store, view } = this.#options;
    const askedAt = clock.now();
    const listing = await store.list();
    if (listing.isErr()) {
      return this.#failed('list', listing.error);
    }
    const { revision, changes } = listing.value;
    const knownRevision = view.revision;
    this.progress.record(listing.value, knownRevision);
    view.replace(revision, changes);
    this.progress.recordListing(revision >= knownRevision, knownRevision);
    this.#succeeded(
      'list',
      revision,
      askedAt,
      changes.map(({ key }) => key),
    );
    return undefined;
  }

  async #wait(signal: AbortSignal): Promise<FleetStoreFailure | undefined> {
    const { clock, store, view } = this.#options;
    const askedAt = clock.now();
    const after = view.revision;
    const answer = await store.waitForChanges(after, WAIT_MILLISECONDS);
    if (answer.isErr()) {
      return this.#failed('watch', answer.error);
    }
    const { revision, changes } = answer.value;
    this.progress.record(answer.value, view.revision);
    view.apply({ afterRevision: after, revision, changes });
    this.#succeeded(
      'watch',
      revision,
      answeredAt(askedAt, clock.now()),
      changes.map(({ key }) => key),
    );
    if (changes.length > 0) {
      await clock.sleep(GATHER_MILLISECONDS, signal);
    }
    return undefined;
  }

  #succeeded(source: string, revision: number, confirmedAt: number, changes: string[]): void {
    const { view, health, events } = this.#options;
    view.confirm(view.lastChange, confirmedAt);
    health.recordSuccess(confirmedAt);
    if (changes.length > 0) {
      events.write({ event: 'view', source, revision, changes });
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
