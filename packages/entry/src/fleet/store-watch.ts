import type { DisabledMechanisms } from '@ferrylock/routing';
import { jittered } from '@ferrylock/utils';
import type { BackgroundTasks, Clock, Random } from '@ferrylock/utils';
import { createTasks } from '../create-tasks.js';
import type { EventLog } from '../event-log.js';
import type { FleetChange } from './fleet-record.js';
import type { FleetStore, FleetStoreFailure } from './fleet-store.js';
import type { FleetView } from './fleet-view.js';
import { STALE_BELIEF_MILLISECONDS } from './stale-belief.js';
import type { StoreHealth } from './store-health.js';
import type { StorePosition } from './store-position.js';
import { epochOf, isAfter } from './store-position.js';
import { epochOfResponse, epochOfListing, StoreProgress } from './store-progress.js';

/** Duration of one watch request. Its end confirms that the store is reachable. */
const WAIT_MILLISECONDS = 1_000;
/** Delay beyond the duration of the watch up to which a response counts as prompt. */
const PROMPT_MILLISECONDS = 500;
/** Upper bound on the transit time of a prompt response. */
const TRANSIT_MILLISECONDS = 100;
/** Longest interval at which a host that does not watch checks whether it must. */
const MAX_IDLE_MILLISECONDS = 250;
const MIN_IDLE_MILLISECONDS = 10;
/**
 * Duration of the watch after a failed call, or without news for long: its answer tells at once
 * whether the store is there.
 */
const PROBE_MILLISECONDS = 1;
/** Pause after a failed call. */
const FIRST_RETRY_MILLISECONDS = 150;
/** Pause after each further one. */
const RETRY_MILLISECONDS = 250;
/** Minimum time between two listings by one host. */
const LISTING_PAUSE_MILLISECONDS = 500;
/**
 * Age of the newest confirmation at which a host lists the store without waiting for its turn. Changes
 * are due 400 ms later, in which two pages come over a narrow link from another region.
 */
const LISTING_DUE_MILLISECONDS = 2_600;

export interface StoreWatchOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly store: FleetStore;
  readonly view: FleetView;
  readonly health: StoreHealth;
  readonly disabledMechanisms: DisabledMechanisms;
  /** Whether this host watches the store itself instead of relying on peers. */
  readonly isWatcher: () => boolean;
  /** Time until this host watches the store unless a confirmation arrives, in milliseconds. */
  readonly watchDueMilliseconds: () => number;
  /** Pause after changes, so that changes in quick succession arrive in one response. */
  readonly batchMilliseconds: () => number;
  /** Delay before a relist, so that other hosts go first. */
  readonly relistDelayMilliseconds: () => number;
  /**
   * Asks peers for records beyond this host's first listing, which a restored store may have lost.
   * The returned function applies them.
   */
  readonly queryPeers: (
    position: StorePosition,
    listed: readonly FleetChange[],
  ) => Promise<() => void>;
}

interface StoreResponse {
  readonly source: 'list' | 'watch';
  readonly confirmedAt: number;
  readonly changes: readonly FleetChange[];
}

/** Keeps the view up to date from the store while this host is a watcher. */
export class StoreWatch {
  readonly #options: StoreWatchOptions;
  readonly #tasks: BackgroundTasks;
  #listedAt = -Infinity;
  /** Number of calls that failed since the last response. */
  #failures = 0;
  /** Progress that the store reported, whether or not it was applied. */
  readonly progress: StoreProgress;

  constructor(options: StoreWatchOptions) {
    this.#options = options;
    this.#tasks = createTasks(options);
    this.progress = new StoreProgress(options.events);
  }

  start(): void {
    this.#tasks.start('store watch', (signal) => this.#run(signal));
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { clock, random, isWatcher, watchDueMilliseconds, view } = this.#options;
    while (!signal.aborted) {
      if (!isWatcher()) {
        const due = Math.max(MIN_IDLE_MILLISECONDS, watchDueMilliseconds());
        await clock.sleep(Math.min(MAX_IDLE_MILLISECONDS, due), signal);
        continue;
      }
      const result = view.isEmpty ? await this.#list() : await this.#wait(signal);
      const failure = result?.kind === 'history-lost' ? await this.#relist(signal) : result;
      if (failure !== undefined) {
        this.#failures++;
        const pause = this.#failures === 1 ? FIRST_RETRY_MILLISECONDS : RETRY_MILLISECONDS;
        await clock.sleep(jittered(random, pause), signal);
      }
    }
  }

  /**
   * Lists the store after a delay, unless a peer provides a confirmed state in the meantime. This keeps
   * hosts from listing all at once, and one host from listing in a loop.
   */
  async #relist(signal: AbortSignal): Promise<FleetStoreFailure | undefined> {
    const { clock, random, view, disabledMechanisms } = this.#options;
    if (disabledMechanisms.has('reading-in-turns')) {
      return this.#list();
    }
    const known = view.position;
    const minDelay = this.#listedAt + jittered(random, LISTING_PAUSE_MILLISECONDS) - clock.now();
    await clock.sleep(Math.max(this.#turnMilliseconds(), minDelay), signal);
    // A position that a peer provides may be one that the store has forgotten, too.
    const isConfirmed = clock.now() - view.confirmedAt <= STALE_BELIEF_MILLISECONDS;
    const isProvided = isAfter(view.position, known) && isConfirmed;
    return isProvided || signal.aborted ? undefined : this.#list();
  }

  /**
   * Delay until it is this host's turn to list, or until changes would be late otherwise. After a long
   * absence of the store they are late anyway, and all hosts would list at once.
   */
  #turnMilliseconds(): number {
    const { clock, view, relistDelayMilliseconds } = this.#options;
    const dueMilliseconds = view.confirmedAt + LISTING_DUE_MILLISECONDS - clock.now();
    const turnMilliseconds = relistDelayMilliseconds();
    return dueMilliseconds > 0 ? Math.min(turnMilliseconds, dueMilliseconds) : turnMilliseconds;
  }

  async #list(): Promise<FleetStoreFailure | undefined> {
    const { clock, store, view, queryPeers, disabledMechanisms } = this.#options;
    const sentAt = clock.now();
    const known = view.position;
    this.#listedAt = sentAt;
    const listing = await store.list();
    if (listing.isErr()) {
      return this.#recordFailure('list', listing.error);
    }
    const { revision } = listing.value;
    const epoch = disabledMechanisms.has('store-lives')
      ? epochOf(known)
      : epochOfListing(listing.value, known);
    const changes = listing.value.changes.map((change) => ({ ...change, epoch }));
    const applyPeerRecords = view.isEmpty
      ? await queryPeers({ epoch, revision }, changes)
      : undefined;
    const knownRevision = view.revision;
    this.progress.record(listing.value, knownRevision);
    const isApplied = view.replace({ epoch, revision }, changes);
    applyPeerRecords?.();
    this.progress.recordListing(isApplied, knownRevision);
    this.#recordResponse({ epoch, revision }, { source: 'list', confirmedAt: sentAt, changes });
    return undefined;
  }

  async #wait(signal: AbortSignal): Promise<FleetStoreFailure | undefined> {
    const { clock, store, view, disabledMechanisms, batchMilliseconds } = this.#options;
    const sentAt = clock.now();
    const after = view.position;
    const isDoubted = this.#failures > 0 || sentAt - view.confirmedAt >= STALE_BELIEF_MILLISECONDS;
    const wait = isDoubted ? PROBE_MILLISECONDS : WAIT_MILLISECONDS;
    const response = await store.waitForChanges(after.revision, wait);
    if (response.isErr()) {
      return this.#recordFailure('watch', response.error);
    }
    const { revision } = response.value;
    const reportedEpoch = disabledMechanisms.has('store-lives') ? undefined : response.value.epoch;
    const epoch = epochOfResponse(reportedEpoch, after);
    this.progress.record(response.value, view.revision);
    if (epoch !== epochOf(after) || revision < after.revision) {
      // The changes were requested after a revision of another epoch than the response's.
      return { kind: 'history-lost', message: 'the store was restored from a snapshot' };
    }
    const changes = response.value.changes.map((change) => ({ ...change, epoch }));
    const [afterEpoch, afterRevision] = [epoch, after.revision];
    view.apply({ afterEpoch, afterRevision, epoch, revision, changes });
    const confirmedAt = respondedAt(sentAt, clock.now());
    this.#recordResponse({ epoch, revision }, { source: 'watch', confirmedAt, changes });
    if (changes.length > 0) {
      await clock.sleep(batchMilliseconds(), signal);
    }
    return undefined;
  }

  #recordResponse(position: StorePosition, { source, confirmedAt, changes }: StoreResponse): void {
    const { view, health, events } = this.#options;
    this.#failures = 0;
    if (view.epoch === epochOf(position)) {
      view.confirm(view.lastChange, { at: confirmedAt, source: 'store' });
    }
    health.recordSuccess(confirmedAt);
    if (changes.length > 0) {
      const keys = changes.map(({ key }) => key);
      events.write({ event: 'view', source, revision: position.revision, changes: keys });
    }
  }

  #recordFailure(call: string, failure: FleetStoreFailure): FleetStoreFailure {
    this.progress.record({ epoch: failure.epoch }, this.#options.view.revision);
    if (failure.kind !== 'history-lost') {
      this.#options.health.recordFailure(call, failure.message);
    }
    return failure;
  }
}

/**
 * Time of a response that is read now. One that may have been waiting to be read, for example while
 * the process was paused, counts as of when the request was sent.
 */
function respondedAt(sentAt: number, now: number): number {
  const isPrompt = now - sentAt <= WAIT_MILLISECONDS + PROMPT_MILLISECONDS;
  return isPrompt ? Math.max(sentAt, now - TRANSIT_MILLISECONDS) : sentAt;
}
