import { BackgroundTasks, rendezvousRank } from '@ferrylock/utils';
import type { Clock, Random } from '@ferrylock/utils';
import { AccountLimitController } from './accounts/account-limit-controller.js';
import type { EntryHostSettings } from './entry-host-settings.js';
import type { EventLog } from './events.js';
import type { EntryHostRecord } from './fleet/fleet-record.js';
import type { FleetStore } from './fleet/fleet-store.js';
import { FleetView } from './fleet/fleet-view.js';
import { HostRegistration } from './fleet/host-registration.js';
import { StoreHealth } from './fleet/store-health.js';
import type { StoreProgress } from './fleet/store-progress.js';
import { StoreRestoreController } from './fleet/store-restore-controller.js';
import { StoreWatch } from './fleet/store-watch.js';
import { TargetLimitController } from './limits/target-limit-controller.js';
import type { CreateTransport } from './peers/datagram-transport.js';
import type { PeerCalls } from './peers/peer-calls.js';
import { PeerExchange } from './peers/peer-exchange.js';
import { PeerLoads } from './peers/peer-loads.js';
import { PeerTable } from './peers/peer-table.js';
import { ViewExchange } from './peers/view-exchange.js';
import { PlacementController } from './routing/placement-controller.js';
import { SuspectController } from './suspects/suspect-controller.js';
import { RoutingState } from './routing/routing-state.js';
import { WatcherSelection } from './watcher-selection.js';

/** Time between two looks at what has fallen silent or vanished. */
const SWEEP_MILLISECONDS = 200;
/** A gap in running that is worth a line: far above what a busy host shows. */
const PAUSE_NOTICED_MILLISECONDS = 700;
/** Pause between two rounds of asking the seeds while nothing is known. */
const SEED_PAUSE_MILLISECONDS = 300;

export interface FleetMemberOptions {
  readonly settings: EntryHostSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly store: FleetStore;
  readonly peerCalls: PeerCalls;
  readonly createTransport: CreateTransport;
  /** Called a few times a second, with the milliseconds by which the call is late. */
  readonly onSweep: (lateMilliseconds: number) => void;
  /** Part of this host's time in which it has work, from 0 to 1. */
  readonly utilization: () => number;
}

/**
 * One entry host's part in the fleet: what it believes of the store and of the other hosts, how it
 * comes to know, what it tells them, and the routing that follows from it.
 */
export class FleetMember {
  readonly view: FleetView;
  readonly state: RoutingState;
  readonly peers: PeerTable;
  /** Keeps client accounts to their limits. */
  readonly accounts: AccountLimitController;
  /** Keeps hosts together to the limits that targets name. */
  readonly limits: TargetLimitController;
  /** Turns requests away that end targets. */
  readonly suspects: SuspectController;
  /** Answers other hosts' calls. */
  readonly viewExchange: ViewExchange;
  readonly #options: FleetMemberOptions;
  readonly #tasks: BackgroundTasks;
  readonly #health: StoreHealth;
  readonly #loads: PeerLoads;
  readonly #placement: PlacementController;
  readonly #exchange: PeerExchange;
  readonly #watch: StoreWatch;
  readonly #returns: StoreRestoreController;
  #registration: HostRegistration | undefined;
  #hosts: readonly EntryHostRecord[] = [];
  #hostNames: readonly string[];
  #isLeaving = false;

  constructor(options: FleetMemberOptions) {
    this.#options = options;
    const { settings, clock, events } = options;
    const view = new FleetView(settings.disabledMechanisms);
    this.view = view;
    this.#hostNames = [settings.name];
    this.#tasks = new BackgroundTasks(events.logger);
    this.#health = new StoreHealth(clock, events);
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
      storeAvailableSince: () => this.#health.availableSince,
    });
    this.#loads = new PeerLoads(clock, this.state);
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
    this.#placement = new PlacementController({
      clock,
      view,
      peers: this.peers,
      state: this.state,
      ownName: settings.name,
      ownRegion: settings.region,
    });
    const storeAnsweredAt = (): number => this.#health.lastResponseAt;
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
      isLeaving: () => this.#isLeaving,
      asked: () => this.#placement.ownDemand,
    });
    const duty = new WatcherSelection({
      clock,
      view,
      isRelay: () => this.#exchange.isRelay,
      relayNames: () => this.#exchange.relayNames,
      hostNames: () => this.hostNames,
      ownName: settings.name,
    });
    this.#watch = new StoreWatch({
      ...options,
      disabledMechanisms: settings.disabledMechanisms,
      view,
      health: this.#health,
      isWatcher: () => duty.isWatcher,
      relistDelayMilliseconds: () => duty.relistDelayMilliseconds,
      queryPeers: (position, listed) => this.#returns.queryPeers(position, listed),
    });
    this.#returns = new StoreRestoreController({
      ...options,
      view,
      viewExchange: this.viewExchange,
      hosts: () => this.#hostNames.length,
    });
    view.onRestore(() => {
      this.#health.recordRestore();
      this.#registration?.recordRestore();
    });
    view.onChanges((changes) => {
      if (changes.some(({ record }) => record === undefined || record.kind === 'entryHost')) {
        this.#takeHosts();
      }
    });
  }

  /** Whether it takes no new callers. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Registered entry hosts; the same array while nothing changes. */
  get hosts(): readonly EntryHostRecord[] {
    return this.#hosts;
  }

  /** Names of all registered entry hosts and of this one; the same array while nothing changes. */
  get hostNames(): readonly string[] {
    return this.#hostNames;
  }

  /** What the store told this host of itself. */
  get storeProgress(): StoreProgress {
    return this.#watch.progress;
  }

  /** Listens to other hosts and tells the address. */
  listen(): Promise<string> {
    return this.#exchange.listen(this.#options.settings.reportAddress);
  }

  /** Begins to learn, to tell and to be known. */
  start(own: EntryHostRecord): void {
    this.#watch.start();
    this.#exchange.start(own);
    const hosts = (): number => this.#hostNames.length;
    this.#registration = new HostRegistration({ ...this.#options, host: own, hosts });
    this.#registration.start();
    this.#tasks.start('seeds', (signal) => this.#askSeeds(signal));
    this.#tasks.start('sweep', (signal) => this.#sweep(signal));
  }

  /** Tells all that callers are to go elsewhere; resolves once the store knows it too. */
  async leave(): Promise<void> {
    this.#isLeaving = true;
    this.#exchange.triggerRound();
    await this.#registration?.stop();
  }

  /** Ends everything at once. */
  async close(): Promise<void> {
    await Promise.all([
      this.#tasks.stop(),
      this.#registration?.close(),
      this.#watch.stop(),
      this.#exchange.stop(),
    ]);
    await this.#options.peerCalls.close();
  }

  /**
   * Takes over all registered entry hosts, whether heard from or not: what is divided among them
   * must not grow where one is cut off and hears nobody.
   */
  #takeHosts(): void {
    this.#hosts = this.view.records('entryHost').map(({ host }) => host);
    const names = this.#hosts.map(({ name }) => name);
    this.#hostNames = [...new Set([this.#options.settings.name, ...names])];
  }

  #registeredIncarnation(name: string): string | undefined {
    return this.#hosts.find((host) => host.name === name)?.incarnation;
  }

  /** Learns from the seeds while nothing is known, as when the store is away. */
  async #askSeeds(signal: AbortSignal): Promise<void> {
    const { settings, clock } = this.#options;
    const seeds = settings.seedAddresses.filter((address) => address !== settings.controlAddress);
    while (this.#mustAsk(seeds, signal)) {
      await clock.sleep(SEED_PAUSE_MILLISECONDS, signal);
      for (const seed of seeds) {
        if (this.#mustAsk(seeds, signal)) {
          await this.viewExchange.fetchFrom(seed);
        }
      }
    }
  }

  #mustAsk(seeds: readonly string[], signal: AbortSignal): boolean {
    return seeds.length > 0 && this.view.isEmpty && !signal.aborted;
  }

  async #sweep(signal: AbortSignal): Promise<void> {
    const { clock, events, onSweep } = this.#options;
    let before = clock.now();
    while (!signal.aborted) {
      await clock.sleep(SWEEP_MILLISECONDS, signal);
      const now = clock.now();
      const paused = now - before - SWEEP_MILLISECONDS;
      if (paused > PAUSE_NOTICED_MILLISECONDS) {
        events.write({ event: 'paused', milliseconds: Math.round(paused) });
      }
      before = now;
      onSweep(paused);
      this.peers.sweep();
      this.#loads.sweep();
      this.accounts.sweep();
      this.limits.sweep();
      this.suspects.sweep();
      this.#returns.sweep();
      this.#health.recordConfirmation(this.view.confirmedAt);
      this.state.sweep();
      this.#placement.sweep();
    }
  }
}
