import { randomUUID } from 'node:crypto';
import { BackgroundTasks } from '@ferrylock/utils';
import type { Clock, Random } from '@ferrylock/utils';
import { BusyMeter } from './busy-meter.js';
import { Directory } from './directory.js';
import type { DirectoryAnswer } from './directory.js';
import type { EventLog } from './events.js';
import type { EntryHostRecord } from './fleet/fleet-record.js';
import type { FleetStore } from './fleet/fleet-store.js';
import { FleetView } from './fleet/fleet-view.js';
import { largeHosts } from './fleet/large-hosts.js';
import { HostRegistration } from './fleet/host-registration.js';
import { StoreHealth } from './fleet/store-health.js';
import { StoreWatch } from './fleet/store-watch.js';
import type { EntryHostSettings } from './entry-host-settings.js';
import { PeerClient } from './peers/peer-client.js';
import { PeerExchange } from './peers/peer-exchange.js';
import { PeerLoads } from './peers/peer-loads.js';
import { PeerTable } from './peers/peer-table.js';
import { ViewExchange } from './peers/view-exchange.js';
import { AnswerWriter } from './request/answer-writer.js';
import { BodyReader } from './request/body-reader.js';
import type { HeaderDialect } from './request/dialect.js';
import { RequestForwarder } from './request/request-forwarder.js';
import { RequestMetrics } from './request/request-metrics.js';
import { TargetClient } from './request/target-client.js';
import { PlacementDuty } from './routing/placement-duty.js';
import { RoutingState } from './routing/routing-state.js';
import { ControlServer } from './servers/control-server.js';
import { FrontServer } from './servers/front-server.js';
import { metricsText } from './metrics-text.js';
import { WatchDuty } from './watch-duty.js';

/** Time between two looks at what has fallen silent or vanished. */
const SWEEP_MILLISECONDS = 100;
/** Time between two summaries in the log. */
const SUMMARY_MILLISECONDS = 5_000;
/** Time between two looks at whether all requests in flight have ended. */
const DRAIN_CHECK_MILLISECONDS = 20;
/** Time at the end of a planned stop that is left for closing. */
const CLOSING_MILLISECONDS = 400;
/** Part of the time for a stop during which new connections are still taken. */
const SERVING_SHARE = 0.6;
/** A gap in running that is worth a line: far above what a busy host shows. */
const PAUSE_NOTICED_MILLISECONDS = 700;
/** Pause between two rounds of asking the seeds while nothing is known. */
const SEED_PAUSE_MILLISECONDS = 300;

export interface EntryHostOptions {
  readonly settings: EntryHostSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly store: FleetStore;
  readonly dialect: HeaderDialect;
}

/** One entry host's process: callers' requests, the directory, and its part in what all share. */
export class EntryHost {
  readonly incarnation = randomUUID().slice(0, 8);
  readonly metrics = new RequestMetrics();
  readonly view = new FleetView();
  readonly state: RoutingState;
  readonly #options: EntryHostOptions;
  readonly #tasks: BackgroundTasks;
  readonly #busy = new BusyMeter();
  readonly #health: StoreHealth;
  readonly #peers: PeerTable;
  readonly #loads: PeerLoads;
  readonly #placement: PlacementDuty;
  readonly #peerClient = new PeerClient();
  readonly #client: TargetClient;
  readonly #changes: ViewExchange;
  readonly #exchange: PeerExchange;
  readonly #watch: StoreWatch;
  readonly #directory: Directory;
  readonly #front: FrontServer;
  readonly #control: ControlServer;
  #registration: HostRegistration | undefined;
  #own: EntryHostRecord | undefined;
  #hosts: readonly string[] = [];
  #largeHosts: readonly string[] = [];
  #isLeaving = false;

  constructor(options: EntryHostOptions) {
    this.#options = options;
    const { settings, clock, events } = options;
    const { view } = this;
    this.#hosts = [settings.name];
    this.#largeHosts = this.#hosts;
    this.#tasks = new BackgroundTasks(events.logger);
    this.#health = new StoreHealth(clock, events);
    this.#peers = new PeerTable(clock, events, (name) => this.#registeredIncarnation(name));
    this.state = new RoutingState({
      ...settings,
      clock,
      events,
      view,
      ownRegion: settings.region,
      storeReturnedAt: () => this.#health.returnedAt,
    });
    this.#loads = new PeerLoads(clock, this.state);
    this.#placement = new PlacementDuty({
      clock,
      view,
      peers: this.#peers,
      state: this.state,
      ownName: settings.name,
      ownRegion: settings.region,
    });
    const storeAnsweredAt = (): number => this.#health.answeredAt;
    this.#changes = new ViewExchange({
      ...options,
      view,
      client: this.#peerClient,
      storeAnsweredAt,
    });
    this.#exchange = new PeerExchange({
      ...options,
      view,
      peers: this.#peers,
      changes: this.#changes,
      storeAnsweredAt,
      loads: this.#loads,
      isLeaving: () => this.#isLeaving,
      busyShare: () => this.#busy.share,
      asked: () => this.#placement.asked,
    });
    this.#client = new TargetClient({
      clock,
      onConnected: (address, milliseconds) => {
        this.state.recordConnected(address, milliseconds);
      },
    });
    const duty = new WatchDuty({
      clock,
      view,
      relayNames: () => this.#exchange.relayNames,
      hostNames: () => this.#hosts,
      ownName: settings.name,
    });
    this.#watch = new StoreWatch({
      ...options,
      view,
      health: this.#health,
      isNeeded: () => duty.isNeeded,
    });
    this.#directory = new Directory({
      view,
      peers: this.#peers,
      own: () =>
        this.#isLeaving || this.#own === undefined
          ? undefined
          : { host: this.#own, busyShare: this.#busy.share },
      longestLifetimeMilliseconds: settings.longestDirectoryLifetimeMilliseconds,
    });
    const forwarder = new RequestForwarder({
      ...options,
      state: this.state,
      client: this.#client,
      bodies: new BodyReader(clock, settings.mostHeldBodyBytes),
      answers: new AnswerWriter({ ...options, view, metrics: this.metrics }),
      metrics: this.metrics,
      ownName: settings.name,
      hosts: () => this.#hosts,
      largeHosts: () => this.#largeHosts,
    });
    this.#front = new FrontServer({
      handle: (request, response, path) => forwarder.handle(request, response, path),
      onFailure: (error) => {
        events.logger.error('request handler failed', { error: String(error) });
      },
    });
    this.#control = new ControlServer({
      changes: this.#changes,
      metricsText: () => this.metricsText(),
    });
    view.onChanges((changes) => {
      if (changes.some(({ record }) => record === undefined || record.kind === 'entryHost')) {
        this.#takeHosts();
      }
    });
    this.state.onLimits((limits) => {
      this.#front.setLimits(limits);
    });
  }

  /** Whether callers are to be sent here. */
  get isReady(): boolean {
    return this.state.active !== undefined && !this.#isLeaving && this.#own !== undefined;
  }

  /** Where it can be reached, with the ports that were taken; undefined before the start. */
  get addresses(): EntryHostRecord | undefined {
    return this.#own;
  }

  /** Figures in the Prometheus text format. */
  metricsText(): string {
    const { clock, events } = this.#options;
    const services = [...this.state.services];
    return metricsText(this.metrics, {
      beliefAgeMilliseconds: clock.now() - this.view.confirmedAt,
      configurationVersion: this.state.active?.version,
      peersHeard: this.#peers.alive.length,
      targetsKnown: services.reduce((sum, { targets }) => sum + targets.size, 0),
      logLinesDropped: events.dropped,
    });
  }

  /** Which entry hosts a caller of this region is to use. */
  directoryAnswer(region: string): DirectoryAnswer {
    return this.#directory.answer(region);
  }

  /** Listens and begins to learn; requests are refused until a configuration is known. */
  async start(): Promise<void> {
    const { settings, events } = this.#options;
    const reportAddress = await this.#exchange.listen(settings.reportAddress);
    const controlAddress = await this.#control.listen(settings.controlAddress);
    const trafficAddress = await this.#front.listen(settings.trafficAddress);
    const { name, failureDomain, region, capacity } = settings;
    const own = {
      name,
      incarnation: this.incarnation,
      failureDomain,
      region,
      trafficAddress,
      controlAddress,
      reportAddress,
      capacity,
    };
    this.#own = own;
    this.#watch.start();
    this.#exchange.start(own);
    this.#registration = new HostRegistration({ ...this.#options, host: own });
    this.#registration.start();
    this.#tasks.start('seeds', (signal) => this.#askSeeds(signal));
    this.#tasks.start('sweep', (signal) => this.#sweep(signal));
    this.#tasks.start('summary', (signal) => this.#summarise(signal));
    const startMilliseconds = Math.round(process.uptime() * 1_000);
    events.write({ event: 'started', incarnation: this.incarnation, startMilliseconds });
  }

  /**
   * Planned stop: the directory stops naming this host, it serves on while callers may still come,
   * then closes idle connections and lets requests in flight end.
   *
   * @returns requests that were cut at the end of the time for a stop
   */
  async stop(): Promise<number> {
    const { settings, clock, events } = this.#options;
    const stopAt = clock.now() + settings.stopMilliseconds;
    events.write({ event: 'stopping', inFlight: this.metrics.inFlight });
    this.#isLeaving = true;
    this.#front.beginLeaving();
    this.#exchange.report();
    const withdrawn = this.#registration?.stop();
    await clock.sleep(settings.stopMilliseconds * SERVING_SHARE);
    this.#front.closeIdle();
    while (this.metrics.inFlight > 0 && clock.now() < stopAt - CLOSING_MILLISECONDS) {
      await clock.sleep(DRAIN_CHECK_MILLISECONDS);
    }
    const cut = this.metrics.inFlight;
    events.write({ event: 'stopped', cut });
    await Promise.race([withdrawn, clock.sleep(CLOSING_MILLISECONDS)]);
    await this.close();
    return cut;
  }

  /** Ends everything at once. */
  async close(): Promise<void> {
    await Promise.all([this.#tasks.stop(), this.#watch.stop(), this.#exchange.stop()]);
    await Promise.all([this.#front.close(), this.#control.close()]);
    await Promise.all([this.#client.close(), this.#peerClient.close()]);
  }

  /**
   * Takes over the names of all registered entry hosts, whether heard from or not: what is divided
   * among them must not grow where one is cut off and hears nobody.
   */
  #takeHosts(): void {
    const records = this.view.records('entryHost').map(({ host }) => host);
    const names = records.map(({ name }) => name);
    this.#hosts = [...new Set([this.#options.settings.name, ...names])];
    const large = largeHosts(records, (record) => record).map(({ name }) => name);
    this.#largeHosts = large.length > 0 ? large : this.#hosts;
  }

  #registeredIncarnation(name: string): string | undefined {
    return this.view.records('entryHost').find(({ host }) => host.name === name)?.host.incarnation;
  }

  /** Learns from the seeds while nothing is known, as when the store is away. */
  async #askSeeds(signal: AbortSignal): Promise<void> {
    const { settings, clock } = this.#options;
    const seeds = settings.seedAddresses.filter((address) => address !== settings.controlAddress);
    while (this.#mustAsk(seeds, signal)) {
      await clock.sleep(SEED_PAUSE_MILLISECONDS, signal);
      for (const seed of seeds) {
        if (this.#mustAsk(seeds, signal)) {
          await this.#changes.fetchFrom(seed);
        }
      }
    }
  }

  #mustAsk(seeds: readonly string[], signal: AbortSignal): boolean {
    return seeds.length > 0 && this.view.isEmpty && !signal.aborted;
  }

  async #sweep(signal: AbortSignal): Promise<void> {
    const { clock, events } = this.#options;
    let before = clock.now();
    while (!signal.aborted) {
      await clock.sleep(SWEEP_MILLISECONDS, signal);
      const now = clock.now();
      const paused = now - before - SWEEP_MILLISECONDS;
      if (paused > PAUSE_NOTICED_MILLISECONDS) {
        events.write({ event: 'paused', milliseconds: Math.round(paused) });
      }
      before = now;
      this.#busy.sample();
      this.#peers.sweep();
      this.#loads.sweep();
      this.#health.recordConfirmation(this.view.confirmedAt);
      this.state.sweep();
      this.#placement.sweep();
    }
  }

  async #summarise(signal: AbortSignal): Promise<void> {
    const { clock, events } = this.#options;
    let writtenAt = clock.now();
    while (!signal.aborted) {
      await clock.sleep(1_000, signal);
      events.refill();
      if (clock.now() - writtenAt >= SUMMARY_MILLISECONDS) {
        writtenAt = clock.now();
        const { answered, inFlight } = this.metrics;
        this.state.logPlacement();
        events.write({ event: 'summary', answered, dropped: events.dropped, inFlight });
      }
    }
  }
}
