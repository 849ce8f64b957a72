import type { KeyValueStore, StoreEvent, StoreFailure, StoreListing } from '@ferrylock/platform';
import type { ConfigurationDocument } from '@ferrylock/schema';
import type { Clock, Logger, Random } from '@ferrylock/utils';
import { BackgroundTasks, jittered, rendezvousRank, shuffled } from '@ferrylock/utils';
import type {
  ExtraHeartbeatFields,
  HeartbeatParticipant,
  ReceivedHeartbeat,
} from '../membership/heartbeat-participant.js';
import { isServing, memberKey } from '../membership/member.js';
import type { Membership } from '../membership/membership.js';
import type { PeerClient } from '../peer/peer-client.js';
import type { PeerParams, PeerResult } from '../peer/peer-methods.js';
import type { PeerRouter } from '../peer/peer-router.js';
import { applyDelta, makeDelta } from './configuration-delta.js';
import { CONFIGURATION_PREFIX, configurationKey } from './configuration-keys.js';
import type { ConfigurationReplica } from './configuration-replica.js';
import { revisionsOf, SeenRevisions } from '../seen-revisions.js';
import { readStoredDocument } from './stored-document.js';

/** Daemons of each failure domain that watch the store. */
const WATCHERS_PER_DOMAIN = 2;
/** Pause between two looks at whether this daemon should watch, and after a watch was cut. */
const WATCH_PAUSE_MILLISECONDS = 500;
/** Without a confirmation for this long, a daemon turns to the store itself. */
const SELF_WATCH_MILLISECONDS = 10_000;
/** Pause between two signs of life asked of the store while watching it. */
const SIGN_OF_LIFE_MILLISECONDS = 2_000;
/** A watch is opened anew this often. */
const WATCH_RENEWAL_MILLISECONDS = 60_000;
/** Peers from which a daemon must have learned before it serves while the store is down. */
const PEERS_TO_LEARN_FROM = 2;
/** With the store and most peers silent, one peer suffices after this long. */
const LEARNING_MILLISECONDS = 5_000;
const PULL_TIMEOUT_MILLISECONDS = 2_000;

export interface ConfigurationSyncOptions {
  readonly replica: ConfigurationReplica;
  readonly store: KeyValueStore;
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/**
 * Brings every change to every daemon. A few daemons of each failure domain watch the store and push
 * what comes to their neighbours; heartbeats compare digests and repair what a push did not reach.
 */
export class ConfigurationSync implements HeartbeatParticipant {
  readonly #options: ConfigurationSyncOptions;
  readonly #tasks: BackgroundTasks;
  readonly #learnedFrom = new Set<string>();
  readonly #pulling = new Set<string>();
  readonly #startedAt: number;
  /** Clock reading at which the configuration was last known to be current. */
  #currentAt = -Infinity;
  #storeReadAt = -Infinity;
  readonly #seen = new SeenRevisions();
  /** Whether a watch cannot go on from what was seen. */
  #mustList = true;
  #watching = false;

  constructor(options: ConfigurationSyncOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options.logger);
    this.#startedAt = options.clock.now();
  }

  /** Whether this daemon now holds a watch on the store. */
  get watching(): boolean {
    return this.#watching;
  }

  /** Milliseconds since the configuration was last confirmed as current; infinite if never. */
  get ageMilliseconds(): number {
    return this.#options.clock.now() - this.#currentAt;
  }

  /**
   * Whether this daemon may steer by what it holds: it has read the store, or heard enough peers
   * that an older configuration than theirs is not taken up.
   */
  get ready(): boolean {
    if (this.#storeReadAt > -Infinity) {
      return true;
    }
    const waited = this.#options.clock.now() - this.#startedAt;
    const needed = waited < LEARNING_MILLISECONDS ? PEERS_TO_LEARN_FROM : 1;
    return this.#learnedFrom.size >= needed;
  }

  register(router: PeerRouter): void {
    router.handle('configuration.push', (request) => this.#takePush(request));
    router.handle('configuration.pull', ({ generations }) => ({
      documents: this.#options.replica.newerThan(generations),
    }));
    router.handle('configuration.generation', ({ account }) => ({
      generation: this.#options.replica.generation(account),
    }));
  }

  start(): void {
    this.#tasks.start('configuration watch', (signal) => this.#runWatch(signal));
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
  }

  describe(): Partial<ExtraHeartbeatFields> {
    const age = this.ageMilliseconds;
    return {
      configurationDigest: this.#options.replica.digest,
      configurationAgeMilliseconds: Number.isFinite(age) ? age : null,
    };
  }

  received(heartbeat: ReceivedHeartbeat): void {
    const { fields, from } = heartbeat;
    if (fields.configurationDigest !== this.#options.replica.digest) {
      void this.#pull(from.controlAddress, memberKey(from));
      return;
    }
    this.#learnedFrom.add(memberKey(from));
    const age = fields.configurationAgeMilliseconds;
    if (age !== null && heartbeat.notBefore > -Infinity) {
      this.#currentAt = Math.max(this.#currentAt, heartbeat.notBefore - age);
    }
  }

  /** Takes up a document from the store or from an operator's call and tells the neighbours. */
  spread(document: ConfigurationDocument): void {
    const before = this.#options.replica.get(document.account);
    if (this.#options.replica.offer(document)) {
      void this.#push(before, document);
    }
  }

  async #push(
    before: ConfigurationDocument | undefined,
    document: ConfigurationDocument,
  ): Promise<void> {
    const delta = makeDelta(before, document);
    const neighbours = shuffled(this.#options.random, this.#options.membership.members.others());
    await Promise.all(
      neighbours.map((member) =>
        this.#options.peers.call(member.controlAddress, 'configuration.push', { deltas: [delta] }),
      ),
    );
  }

  /** Answers with the generations held; a push that does not fit is repaired by the next pull. */
  #takePush(request: PeerParams<'configuration.push'>): PeerResult<'configuration.push'> {
    const { replica } = this.#options;
    const generations: Record<string, number> = {};
    for (const delta of request.deltas) {
      const held = replica.get(delta.account);
      if (delta.generation > (held?.generation ?? 0)) {
        const document = applyDelta(held, delta);
        if (document !== undefined) {
          replica.offer(document);
        }
      }
      generations[delta.account] = replica.generation(delta.account);
    }
    return { generations };
  }

  async #pull(address: string, key: string): Promise<void> {
    if (this.#pulling.has(key)) {
      return;
    }
    this.#pulling.add(key);
    const { replica, peers } = this.#options;
    const answer = await peers.call(
      address,
      'configuration.pull',
      { generations: replica.generations() },
      PULL_TIMEOUT_MILLISECONDS,
    );
    this.#pulling.delete(key);
    if (answer.isOk()) {
      answer.value.documents.forEach((document) => replica.offer(document));
      this.#learnedFrom.add(key);
    }
  }

  async #runWatch(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    for (;;) {
      // First a pause: whoever starts gets to know its neighbours before it takes itself for chosen.
      await clock.sleep(jittered(random, WATCH_PAUSE_MILLISECONDS), signal);
      if (signal.aborted) {
        return;
      }
      if (this.#shouldWatch()) {
        await this.#watchOnce(signal);
      }
    }
  }

  /** The first few by rendezvous rank watch; so does whoever has had no confirmation for long. */
  #shouldWatch(): boolean {
    const { membership } = this.#options;
    const { self } = membership;
    const candidates = membership.members.running().filter(isServing);
    const watchers = rendezvousRank('watch', candidates, memberKey).slice(0, WATCHERS_PER_DOMAIN);
    const chosen = watchers.some((member) => memberKey(member) === memberKey(self));
    const sinceStart = this.#options.clock.now() - this.#startedAt;
    const unconfirmed = Math.min(this.ageMilliseconds, sinceStart);
    return chosen || unconfirmed > SELF_WATCH_MILLISECONDS;
  }

  async #watchOnce(signal: AbortSignal): Promise<void> {
    const { store, logger } = this.#options;
    const failure = await this.#catchUp();
    if (failure !== undefined) {
      logger.warn('configuration store unavailable', { error: failure.message });
      return;
    }
    this.#watching = true;
    while (this.#watching && !signal.aborted) {
      const ended = AbortSignal.any([signal, this.#renewal(signal)]);
      const failure = await store.watch({
        prefix: CONFIGURATION_PREFIX,
        fromRevision: this.#seen.upTo + 1,
        signal: ended,
        onEvents: (events) => {
          this.#takeEvents(events);
        },
      });
      this.#watching = ended.aborted && this.#shouldWatch();
      this.#mustList ||= failure.compacted === true;
      if (!ended.aborted) {
        logger.info('configuration watch ended', { reason: failure.message });
      }
    }
    this.#watching = false;
  }

  /**
   * Reads the whole configuration at the start, and again only where a watch cannot go on from the
   * last revision seen, so that the end of an outage does not bring a flood of listings. A store that was put back from a
   * backup may have the same id and have counted past that revision: its keys' revisions show it.
   */
  async #catchUp(): Promise<StoreFailure | undefined> {
    const { store } = this.#options;
    const present = await store.revisions(CONFIGURATION_PREFIX);
    if (present.isErr()) {
      return present.error;
    }
    if (!this.#mustList && this.#seen.isContinuedBy(present.value)) {
      return undefined;
    }
    const listing = await store.list(CONFIGURATION_PREFIX);
    if (listing.isErr()) {
      return listing.error;
    }
    await this.#takeListing(listing.value);
    this.#seen.replace(revisionsOf(listing.value));
    this.#mustList = false;
    return undefined;
  }

  #takeEvents(events: readonly StoreEvent[]): void {
    for (const event of events) {
      this.#seen.record(event.key, event.revision);
      const document = readStoredDocument(
        event.value === undefined ? undefined : { value: event.value },
      );
      if (document !== undefined) {
        this.spread(document);
      }
    }
  }

  /**
   * Aborts when a watch is due to be opened anew: a connection can die without a sign. Until then
   * it asks the store for signs of life, which is what the age of the configuration counts from.
   */
  #renewal(signal: AbortSignal): AbortSignal {
    const { clock, random, store } = this.#options;
    const due = new AbortController();
    const until = clock.now() + jittered(random, WATCH_RENEWAL_MILLISECONDS);
    this.#tasks.start('configuration watch renewal', async () => {
      while (clock.now() < until && this.#shouldWatch() && this.#watching && !signal.aborted) {
        await clock.sleep(jittered(random, SIGN_OF_LIFE_MILLISECONDS), signal);
        const askedAt = clock.now();
        const state = await store.state();
        if (state.isOk() && this.watching) {
          this.#currentAt = Math.max(this.#currentAt, askedAt);
        }
      }
      due.abort();
    });
    return due.signal;
  }

  /** Takes up what the store holds, and gives back what it has lost. */
  async #takeListing(listing: StoreListing): Promise<void> {
    const { replica, clock } = this.#options;
    const readAt = clock.now();
    for (const stored of listing.values) {
      const document = readStoredDocument(stored);
      if (document !== undefined) {
        this.spread(document);
      }
    }
    this.#storeReadAt = readAt;
    this.#currentAt = readAt;
    await this.#restoreLost(replica.all(), listing);
  }

  /** A store put back from a backup is behind the fleet: the fleet's documents go back into it. */
  async #restoreLost(held: readonly ConfigurationDocument[], listing: StoreListing): Promise<void> {
    const stored = new Map(listing.values.map((value) => [value.key, value]));
    for (const document of held) {
      const current = stored.get(configurationKey(document.account));
      if ((readStoredDocument(current)?.generation ?? 0) >= document.generation) {
        continue;
      }
      this.#options.logger.warn('store is behind the fleet', {
        account: document.account,
        generation: document.generation,
      });
      await this.#options.store.compareAndSwap({
        key: configurationKey(document.account),
        expectedRevision: current?.revision ?? 0,
        value: JSON.stringify(document),
      });
    }
  }
}
