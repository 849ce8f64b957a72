import { rendezvousRank } from '@ferrylock/utils';
import type { Clock, Random, BackgroundTasks } from '@ferrylock/utils';
import { AccountLimitController } from './accounts/account-limit-controller.js';
import type { EntryHostSettings } from './entry-host-settings.js';
import { createTasks } from './create-tasks.js';
import type { EventLog } from './event-log.js';
import type { EntryHostRecord } from './fleet/fleet-record.js';
import type { FleetStore } from './fleet/fleet-store.js';
import { FleetView } from './fleet/fleet-view.js';
import { ChangeDelays } from './fleet/change-delays.js';
import { RecentHosts } from './fleet/recent-hosts.js';
import { HostRegistration } from './fleet/host-registration.js';
import { StoreHealth } from './fleet/store-health.js';
import type { StoreProgress } from './fleet/store-progress.js';
import { StoreRestoreController } from './fleet/store-restore-controller.js';
import { StoreWatch } from './fleet/store-watch.js';
import { TargetLimitController } from './limits/target-limit-controller.js';
import type { DatagramCounts } from './peers/datagram-counts.js';
import type { CreateTransport } from './peers/datagram-transport.js';
import type { PeerCalls } from './peers/peer-calls.js';
import { PeerExchange } from './peers/peer-exchange.js';
import { PeerLoads } from './peers/peer-loads.js';
import { PeerTable } from './peers/peer-table.js';
import { ViewExchange } from './peers/view-exchange.js';
import type { CheckConnection } from './reachability/check-connection.js';
import { TargetReachability } from './reachability/target-reachability.js';
import { PlacementController } from './routing/placement-controller.js';
import { RetryShareController } from './routing/retry-share-controller.js';
import { ReadDelay } from './read-delay.js';
import { SuspectController } from './suspects/suspect-controller.js';
import { RoutingState } from './routing/routing-state.js';
import { WatcherSelection } from './watcher-selection.js';

const SWEEP_MILLISECONDS = 200;
/** Event loop delay that is logged; far above that of a busy host. */
const PAUSE_THRESHOLD_MILLISECONDS = 700;
/** Pause between two rounds of queries to the seeds. */
const SEED_PAUSE_MILLISECONDS = 300;

export interface FleetMemberOptions {
  readonly settings: EntryHostSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly store: FleetStore;
  readonly peerCalls: PeerCalls;
  readonly createTransport: CreateTransport;
  readonly checkConnection: CheckConnection;
  /** Tells whether more connections to an address are open than requests in flight need. */
  readonly hasIdleConnection: (address: string, inFlight: number) => boolean;
  /** Called a few times a second with the delay of the call. */
  readonly onSweep: (lateMilliseconds: number) => void;
  /** Event loop utilization of this host, from 0 to 1. */
  readonly utilization: () => number;
}

/**
 * Membership of one entry host in the fleet: its view of the store and of its peers, the exchange
 * of state with both, and the routing state that follows from it.
 */
export class FleetMember {
  readonly view: FleetView;
  readonly state: RoutingState;
  readonly peers: PeerTable;
  /** Enforces the limits of client accounts. */
  readonly accounts: AccountLimitController;
  /** Enforces the limits that targets advertise across all hosts. */
  readonly limits: TargetLimitController;
  /** Rejects requests that crash targets. */
  readonly suspects: SuspectController;
  /** Tells which failure domains' targets this host reaches. */
  readonly reachability: TargetReachability;
  /** Exchanges views with peers. */
  readonly viewExchange: ViewExchange;
  /** Delays until this host applied changes of the store. */
  readonly changeDelays = new ChangeDelays();
  readonly #options: FleetMemberOptions;
  readonly #readDelay: ReadDelay;
  readonly #tasks: BackgroundTasks;
  readonly #storeHealth: StoreHealth;
  readonly #loads: PeerLoads;
  readonly #placement: PlacementController;
  readonly #retryShares: RetryShareController;
  readonly #exchange: PeerExchange;
  readonly #storeWatch: StoreWatch;
  readonly #storeRestore: StoreRestoreController;
  #registration: HostRegistration | undefined;
  readonly #recentHosts: RecentHosts;
  #hosts: readonly EntryHostRecord[] = [];
  #hostNames: readonly string[];
  #capacities: ReadonlyMap<string, number> = new Map();
  #isLeaving = false;

  constructor(options: FleetMemberOptions) {
    this.#options = options;
    const { settings, clock, events } = options;
    const view = new FleetView(settings.disabledMechanisms);
    this.#readDelay = new ReadDelay(clock, SWEEP_MILLISECONDS);
    this.view = view;
    this.#recentHosts = new RecentHosts(clock);
    this.#hostNames = [settings.name];
    this.#tasks = createTasks(options);
    this.#storeHealth = new StoreHealth(clock, events);
    this.peers = new PeerTable(clock, events, (name) => this.#registeredIncarnation(name));
    this.limits = new TargetLimitController({
      ...options,
      ownName: settings.name,
      disabledMechanisms: settings.disabledMechanisms,
      hosts: () => this.#hosts,
      hostNames: () => this.#hostNames,
      isAlive: (host) => this.peers.isAlive(host),
      targetOfStart: (start) => this.state.targetOfStart(start),
      onUpdate: () => {
        this.#exchange.propagateUrgent('own');
      },
    });
    this.state = new RoutingState({
      ...settings,
      limits: this.limits.limits,
      clock,
      events,
      view,
      ownName: settings.name,
      ownRegion: settings.region,
      isReachable: (target) => this.reachability.isReachable(target),
      storeAbsence: () => this.#storeHealth.absence,
    });
    this.reachability = new TargetReachability({
      ...options,
      services: () => this.state.services,
      peersServing: () => this.#hosts.filter((host) => this.peers.isServing(host)).length,
      onChange: () => {
        this.#exchange.triggerRound();
      },
    });
    this.#loads = new PeerLoads(clock, this.state, (target) => this.reachability.isHeard(target));
    this.accounts = new AccountLimitController({
      ...options,
      bound: settings.quotaPolicy,
      ownName: settings.name,
      isFirstStart: settings.isFirstStart,
      hosts: () => this.#hosts,
      isAlive: (host) => this.peers.isAlive(host),
      onSurge: () => {
        this.#exchange.triggerRound();
      },
    });
    this.suspects = new SuspectController({
      ...options,
      view,
      hosts: () => this.#hostNames.length,
      writeOrderOf: (fingerprint) =>
        rendezvousRank(fingerprint, this.#hostNames, (name) => name).indexOf(settings.name),
      onUpdate: (source) => {
        this.#exchange.propagateUrgent(source);
      },
    });
    this.state.onConfiguration(({ accounts = [] }) => {
      this.accounts.quotas.setAccounts(accounts);
    });
    this.#retryShares = new RetryShareController({
      clock,
      state: this.state,
      ownName: settings.name,
      hosts: () => this.#hosts,
      isAlive: (host) => this.peers.isAlive(host),
    });
    this.#placement = new PlacementController({
      clock,
      view,
      peers: this.peers,
      state: this.state,
      ownName: settings.name,
      ownRegion: settings.region,
      onDemand: (own, fleet) => {
        this.#retryShares.update(own, fleet);
      },
    });
    const storeAnsweredAt = (): number => this.#storeHealth.lastResponseAt;
    this.viewExchange = new ViewExchange({
      ...options,
      view,
      client: options.peerCalls,
      storeAnsweredAt,
    });
    this.#exchange = new PeerExchange({
      ...options,
      view,
      peers: this.peers,
      viewExchange: this.viewExchange,
      storeAnsweredAt,
      loads: this.#loads,
      accounts: this.accounts,
      limits: this.limits,
      suspects: this.suspects,
      readDelay: () => this.#readDelay.milliseconds,
      isLeaving: () => this.#isLeaving,
      reachesNone: () => this.reachability.reachesNone,
      asked: () => this.#placement.ownDemand,
    });
    const watcherSelection = new WatcherSelection({
      clock,
      view,
      isRelay: () => this.#exchange.isRelay,
      relayNames: () => this.#exchange.relayNames,
      hostNames: () => this.hostNames,
      capacityOf: (name) => this.#capacities.get(name) ?? 0,
      ownName: settings.name,
    });
    this.#storeWatch = new StoreWatch({
      ...options,
      disabledMechanisms: settings.disabledMechanisms,
      view,
      health: this.#storeHealth,
      isWatcher: () => watcherSelection.isWatcher,
      batchMilliseconds: () => watcherSelection.batchMilliseconds,
      watchDueMilliseconds: () => watcherSelection.dueMilliseconds,
      relistDelayMilliseconds: () => watcherSelection.relistDelayMilliseconds,
      queryPeers: (position, listed) => this.#storeRestore.queryPeers(position, listed),
    });
    this.#storeRestore = new StoreRestoreController({
      ...options,
      view,
      viewExchange: this.viewExchange,
      hosts: () => this.#hostNames.length,
    });
    view.onRestore(() => {
      this.#storeHealth.recordRestore();
      this.#registration?.recordRestore();
    });
    view.onChanges((changes) => {
      this.changeDelays.record(changes.length, clock.now() - view.confirmedAt);
      if (changes.some(({ record }) => record === undefined || record.kind === 'entryHost')) {
        this.#updateHosts();
      }
    });
  }

  /** Counts of the datagrams that this host sends to peers. */
  get datagrams(): DatagramCounts {
    return this.#exchange.counts;
  }

  /** Whether this host has stopped accepting new callers. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Registered entry hosts; the same array while they do not change. */
  get hosts(): readonly EntryHostRecord[] {
    return this.#hosts;
  }

  /** Entry hosts that are registered, or were until lately; the same array while they do not change. */
  get recentHosts(): readonly EntryHostRecord[] {
    return this.#recentHosts.hosts;
  }

  /** Names of all registered hosts and of this one; the same array while they do not change. */
  get hostNames(): readonly string[] {
    return this.#hostNames;
  }

  /** Progress that the store reported to this host. */
  get storeProgress(): StoreProgress {
    return this.#storeWatch.progress;
  }

  /** Binds the socket for reports of peers and returns its address. */
  listen(): Promise<string> {
    return this.#exchange.listen(this.#options.settings.reportAddress);
  }

  /** Joins the fleet. */
  start(own: EntryHostRecord): void {
    this.#storeWatch.start();
    this.#exchange.start(own);
    const hosts = (): number => this.#hostNames.length;
    this.#registration = new HostRegistration({ ...this.#options, host: own, hosts });
    this.#registration.start();
    this.#tasks.start('seeds', (signal) => this.#bootstrapFromSeeds(signal));
    this.#tasks.start('sweep', (signal) => this.#sweep(signal));
  }

  /** Announces that this host is leaving; resolves once it is deregistered. */
  async leave(): Promise<void> {
    this.#isLeaving = true;
    this.#exchange.triggerRound();
    await this.#registration?.stop();
  }

  /** Stops all tasks immediately. */
  async close(): Promise<void> {
    await Promise.all([
      this.#tasks.stop(),
      this.#registration?.close(),
      this.#storeWatch.stop(),
      this.#exchange.stop(),
    ]);
    await this.#options.peerCalls.close();
  }

  /**
   * Updates the host list with all registered hosts, alive or not: the shares of a divided limit
   * must not grow at a host that is partitioned from the others.
   */
  #updateHosts(): void {
    this.#hosts = this.view.records('entryHost').map(({ host }) => host);
    this.#recentHosts.update(this.#hosts);
    const names = this.#hosts.map(({ name }) => name);
    this.#capacities = new Map(this.#hosts.map(({ name, capacity }) => [name, capacity]));
    this.#hostNames = [...new Set([this.#options.settings.name, ...names])];
    this.#retryShares.recordHosts(this.#hostNames.length);
  }

  #registeredIncarnation(name: string): string | undefined {
    return this.#hosts.find((host) => host.name === name)?.incarnation;
  }

  /** Fetches the view from the seeds while it is empty, as when the store is unavailable. */
  async #bootstrapFromSeeds(signal: AbortSignal): Promise<void> {
    const { settings, clock } = this.#options;
    const seeds = settings.seedAddresses.filter((address) => address !== settings.controlAddress);
    while (this.#mustBootstrap(seeds, signal)) {
      await clock.sleep(SEED_PAUSE_MILLISECONDS, signal);
      for (const seed of seeds) {
        if (this.#mustBootstrap(seeds, signal)) {
          await this.viewExchange.fetchFrom(seed);
        }
      }
    }
  }

  #mustBootstrap(seeds: readonly string[], signal: AbortSignal): boolean {
    return seeds.length > 0 && this.view.isEmpty && !signal.aborted;
  }

  async #sweep(signal: AbortSignal): Promise<void> {
    const { clock, events, onSweep } = this.#options;
    this.#readDelay.record();
    while (!signal.aborted) {
      await clock.sleep(SWEEP_MILLISECONDS, signal);
      const paused = this.#readDelay.record();
      if (paused > PAUSE_THRESHOLD_MILLISECONDS) {
        events.write({ event: 'paused', milliseconds: Math.round(paused) });
      }
      onSweep(paused);
      this.peers.sweep();
      this.reachability.sweep();
      this.#loads.sweep();
      this.accounts.sweep();
      this.limits.sweep();
      this.suspects.sweep();
      this.#storeRestore.sweep();
      this.#storeHealth.recordConfirmation(this.view.confirmedAt);
      this.state.sweep();
      this.#placement.sweep();
    }
  }
}
