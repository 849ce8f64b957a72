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
/** Interval of the check if this daemon should watch, and delay after a failed watch. */
const WATCH_PAUSE_MILLISECONDS = 500;
/** Time without a confirmation after which a daemon watches the store itself. */
const UNCONFIRMED_WATCH_MILLISECONDS = 10_000;
/** Interval of liveness checks of the store during a watch. */
const LIVENESS_CHECK_MILLISECONDS = 2_000;
/** Interval at which a watch is reopened. */
const WATCH_RENEWAL_MILLISECONDS = 60_000;
/** Peers to synchronize with before a daemon is ready while the store is down. */
const REQUIRED_SYNCED_PEERS = 2;
/** Time after which one synchronized peer suffices. */
const PEER_SYNC_MILLISECONDS = 5_000;
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
 * Replicates the configuration to all daemons. A few daemons of each failure domain watch the store
 * and push changes to the other members; missed pushes are repaired by digests in heartbeats.
 */
export class ConfigurationSync implements HeartbeatParticipant {
  readonly #options: ConfigurationSyncOptions;
  readonly #tasks: BackgroundTasks;
  readonly #syncedPeers = new Set<string>();
  readonly #pulling = new Set<string>();
  readonly #startedAt: number;
  /** Clock time at which the configuration was last confirmed as current. */
  #confirmedAt = -Infinity;
  #storeReadAt = -Infinity;
  readonly #seen = new SeenRevisions();
  /** Set if a watch cannot resume from the last revision seen. */
  #mustList = true;
  #watching = false;

  constructor(options: ConfigurationSyncOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options);
    this.#startedAt = options.clock.now();
  }

  /** True while this daemon watches the store. */
  get watching(): boolean {
    return this.#watching;
  }

  /** Milliseconds since the configuration was last confirmed as current; infinite if never. */
  get ageMilliseconds(): number {
    return this.#options.clock.now() - this.#confirmedAt;
  }

  /**
   * True once the configuration may be used: the store was read, or the replica was synchronized
   * with enough peers, so that it is not older than theirs.
   */
  get ready(): boolean {
    if (this.#storeReadAt > -Infinity) {
      return true;
    }
    const waited = this.#options.clock.now() - this.#startedAt;
    const needed = waited < PEER_SYNC_MILLISECONDS ? REQUIRED_SYNCED_PEERS : 1;
    return this.#syncedPeers.size >= needed;
  }

  register(router: PeerRouter): void {
    router.handle('configuration.push', (request) => this.#handlePush(request));
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
      this.#tasks.run('configuration pull', () => this.#pull(from.controlAddress, memberKey(from)));
      return;
    }
    this.#syncedPeers.add(memberKey(from));
    const age = fields.configurationAgeMilliseconds;
    if (age !== null && heartbeat.notBefore > -Infinity) {
      this.#confirmedAt = Math.max(this.#confirmedAt, heartbeat.notBefore - age);
    }
  }

  /** Applies a document from the store or an operator and pushes it to the other members. */
  spread(document: ConfigurationDocument): void {
    const before = this.#options.replica.get(document.account);
    if (this.#options.replica.offer(document)) {
      this.#tasks.run('configuration push', () => this.#push(before, document));
    }
  }

  async #push(
    before: ConfigurationDocument | undefined,
    document: ConfigurationDocument,
  ): Promise<void> {
    const delta = makeDelta(before, document);
    const members = shuffled(this.#options.random, this.#options.membership.members.others());
    await Promise.all(
      members.map((member) =>
        this.#options.peers.call(member.controlAddress, 'configuration.push', { deltas: [delta] }),
      ),
    );
  }

  /** Applies deltas and returns the generations; a mismatch is repaired by the next pull. */
  #handlePush(request: PeerParams<'configuration.push'>): PeerResult<'configuration.push'> {
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
    const response = await peers.call(
      address,
      'configuration.pull',
      { generations: replica.generations() },
      PULL_TIMEOUT_MILLISECONDS,
    );
    this.#pulling.delete(key);
    if (response.isOk()) {
      response.value.documents.forEach((document) => replica.offer(document));
      this.#syncedPeers.add(key);
    }
  }

  async #runWatch(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    for (;;) {
      // Sleeps first, so that a new daemon discovers members before it selects the watchers.
      await clock.sleep(jittered(random, WATCH_PAUSE_MILLISECONDS), signal);
      if (signal.aborted) {
        return;
      }
      if (this.#shouldWatch()) {
        await this.#watchOnce(signal);
      }
    }
  }

  /** Selects watchers by rendezvous rank, plus daemons without a recent confirmation. */
  #shouldWatch(): boolean {
    const { membership } = this.#options;
    const { self } = membership;
    const candidates = membership.members.running().filter(isServing);
    const watchers = rendezvousRank('watch', candidates, memberKey).slice(0, WATCHERS_PER_DOMAIN);
    const isSelected = watchers.some((member) => memberKey(member) === memberKey(self));
    const sinceStart = this.#options.clock.now() - this.#startedAt;
    const unconfirmed = Math.min(this.ageMilliseconds, sinceStart);
    return isSelected || unconfirmed > UNCONFIRMED_WATCH_MILLISECONDS;
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
      const ended = AbortSignal.any([signal, this.#renewalSignal(signal)]);
      const failure = await store.watch({
        prefix: CONFIGURATION_PREFIX,
        fromRevision: this.#seen.upTo + 1,
        signal: ended,
        onEvents: (events) => {
          this.#applyEvents(events);
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
   * Lists the configuration at the start, and again only if a watch cannot resume from the last
   * revision seen, which avoids a burst of listings after an outage. A store restored from a backup
   * may keep its id and have passed that revision; the revisions of its keys reveal it.
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
    await this.#applyListing(listing.value);
    this.#seen.replace(revisionsOf(listing.value));
    this.#mustList = false;
    return undefined;
  }

  #applyEvents(events: readonly StoreEvent[]): void {
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
   * Aborts when a watch is due for renewal, since a connection can fail silently. Until then it
   * checks the store's liveness, which confirms the configuration as current.
   */
  #renewalSignal(signal: AbortSignal): AbortSignal {
    const { clock, random, store } = this.#options;
    const renewal = new AbortController();
    const until = clock.now() + jittered(random, WATCH_RENEWAL_MILLISECONDS);
    this.#tasks.run('configuration watch renewal', async () => {
      while (clock.now() < until && this.#shouldWatch() && this.#watching && !signal.aborted) {
        await clock.sleep(jittered(random, LIVENESS_CHECK_MILLISECONDS), signal);
        const requestedAt = clock.now();
        const state = await store.state();
        if (state.isOk() && this.watching) {
          this.#confirmedAt = Math.max(this.#confirmedAt, requestedAt);
        }
      }
      renewal.abort();
    });
    return renewal.signal;
  }

  /** Applies the store's documents and restores those that it has lost. */
  async #applyListing(listing: StoreListing): Promise<void> {
    const { replica, clock } = this.#options;
    const readAt = clock.now();
    for (const stored of listing.values) {
      const document = readStoredDocument(stored);
      if (document !== undefined) {
        this.spread(document);
      }
    }
    this.#storeReadAt = readAt;
    this.#confirmedAt = readAt;
    await this.#restoreLost(replica.all(), listing);
  }

  /** Writes documents back to a store that is behind the fleet after a restore from a backup. */
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
