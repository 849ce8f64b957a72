import { randomUUID } from 'node:crypto';
import type { BackgroundTasks, Clock, Random } from '@ferrylock/utils';
import { afterPoll } from './after-poll.js';
import { UtilizationMeter } from './utilization-meter.js';
import { createDirectory } from './create-directory.js';
import type { Directory, DirectoryAnswer, DirectoryQuery } from './directory.js';
import type { EntryHostSettings } from './entry-host-settings.js';
import { createTasks } from './create-tasks.js';
import type { EventLog } from './event-log.js';
import type { EntryHostRecord } from './fleet/fleet-record.js';
import type { FleetStore } from './fleet/fleet-store.js';
import type { FleetView } from './fleet/fleet-view.js';
import { LargeHostNames } from './fleet/large-host-names.js';
import { FleetMember } from './fleet-member.js';
import { collectHostMetrics } from './collect-host-metrics.js';
import { MetricsPage } from './metrics-page.js';
import { metricsText } from './metrics-text.js';
import { GracefulShutdown } from './graceful-shutdown.js';
import { HandoverAdmission } from './handover/handover-admission.js';
import { HandoverController } from './handover/handover-controller.js';
import { HandoverPeers } from './handover/handover-peers.js';
import { HandoverReceiver } from './handover/handover-receiver.js';
import { PeerClient } from './peers/peer-client.js';
import { UdpTransport } from './peers/udp-transport.js';
import { ConfigurationKnowledge } from './request/configuration-knowledge.js';
import { ResponseWriter } from './request/response-writer.js';
import { createFairAdmission } from './accounts/create-fair-admission.js';
import type { FairAdmission } from '@ferrylock/routing';
import { ByteBudget } from './transfers/byte-budget.js';
import { BodyReader } from './request/body-reader.js';
import type { HeaderCodec } from './request/header-codec.js';
import { RequestForwarder } from './request/request-forwarder.js';
import { RequestMetrics } from './request/request-metrics.js';
import type { Dial } from './request/target-client.js';
import { TargetClient } from './request/target-client.js';
import { EndlessAnswerCounts } from './request/endless-answer-counts.js';
import { StrayRecorder } from './request/stray-recorder.js';
import { TargetSignalRecorder } from './request/target-signal-recorder.js';
import { RequestQueue } from './queue/request-queue.js';
import { RegionOverflow } from './region-overflow.js';
import type { RoutingState } from './routing/routing-state.js';
import { EventLoopDelay } from './event-loop-delay.js';
import type { CheckConnection } from './reachability/check-connection.js';
import { checkConnection } from './reachability/check-connection.js';
import { TargetCrashDetector } from './suspects/target-crash-detector.js';
import { ShutdownWindow } from './shutdown-window.js';
import { SummaryLog } from './summary-log.js';
import { ControlServer } from './servers/control-server.js';
import type { SharedServerParts } from './servers/create-server-app.js';
import { createServerParts } from './servers/create-server-parts.js';
import { TrafficServer } from './servers/traffic-server.js';

export interface EntryHostOptions {
  readonly settings: EntryHostSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly store: FleetStore;
  readonly codec: HeaderCodec;
  /** Absent if this host connects to targets at the addresses in their records. */
  readonly dial?: Dial;
}

/** An entry host: forwards callers' requests, serves the directory and takes part in the fleet. */
export class EntryHost {
  readonly incarnation = randomUUID().slice(0, 8);
  readonly metrics = new RequestMetrics();
  /** Metrics in the Prometheus text format. */
  readonly metricsPage = new MetricsPage(afterPoll, () => this.metricsText());
  /** Parts of the servers of this process, also of those beside this host's own. */
  readonly serverParts: SharedServerParts;
  readonly #options: EntryHostOptions;
  readonly #tasks: BackgroundTasks;
  readonly #utilizationMeter = new UtilizationMeter();
  readonly #member: FleetMember;
  readonly #client: TargetClient;
  /** Connects to other entry hosts. */
  readonly #peerClient: TargetClient;
  readonly #forwarder: RequestForwarder;
  readonly #handovers: HandoverController;
  readonly #handoverReceiver: HandoverReceiver;
  readonly #crashDetector: TargetCrashDetector;
  readonly #signalRecorder: TargetSignalRecorder;
  readonly #strayRecorder: StrayRecorder;
  readonly #budget: ByteBudget;
  readonly #endlessAnswers = new EndlessAnswerCounts();
  readonly #shutdownWindow: ShutdownWindow;
  readonly #fairAdmission: FairAdmission;
  readonly #overflow: RegionOverflow;
  readonly #directory: Directory;
  readonly #queue: RequestQueue;
  readonly #trafficServer: TrafficServer;
  readonly #controlServer: ControlServer;
  readonly #largeHostNames: LargeHostNames;
  #record: EntryHostRecord | undefined;

  constructor(options: EntryHostOptions) {
    this.#options = options;
    const { settings, clock, events, dial } = options;
    const checkTarget: CheckConnection = (address) => checkConnection(dial?.(address) ?? address);
    this.#tasks = createTasks(options);
    this.serverParts = createServerParts(options);
    const eventLoopDelay = new EventLoopDelay(clock);
    this.#member = new FleetMember({
      ...options,
      peerCalls: new PeerClient(),
      createTransport: (onMessage) => new UdpTransport(events, onMessage),
      checkConnection: checkTarget,
      hasIdleConnection: (address, inFlight) => this.#client.openConnections(address) > inFlight,
      onSweep: (lateMilliseconds) => {
        this.#utilizationMeter.sample();
        eventLoopDelay.record(lateMilliseconds);
        this.#forwarder.abandonUnheard();
      },
      utilization: () => this.#utilizationMeter.utilization,
    });
    this.#largeHostNames = new LargeHostNames(settings.name);
    this.#budget = new ByteBudget(settings.maxBufferedBodyBytes);
    this.#shutdownWindow = new ShutdownWindow(clock);
    const { view, state, peers, accounts, limits, suspects, reachability } = this.#member;
    const bounds = {
      budget: this.#budget,
      onCut: (error: Error) => {
        this.#endlessAnswers.record(error);
      },
    };
    this.#client = new TargetClient({
      ...bounds,
      clock,
      dial,
      onConnected: (address, milliseconds) => {
        state.recordConnectTime(address, milliseconds);
        const failureDomain = state.failureDomainOf(address);
        if (failureDomain !== undefined) {
          reachability.recordConnected(failureDomain);
        }
      },
    });
    this.#peerClient = new TargetClient({ ...bounds, clock, onConnected: () => undefined });
    this.#handovers = new HandoverController({
      ...options,
      client: this.#peerClient,
      peers: new HandoverPeers({
        ...options,
        ownName: settings.name,
        ownRegion: settings.region,
        hosts: () => this.#member.hosts,
        isServing: (host) => peers.isServing(host),
      }),
      reachability,
      ownName: settings.name,
      ownIncarnation: this.incarnation,
    });
    this.#crashDetector = new TargetCrashDetector({
      clock,
      events,
      checkConnection: checkTarget,
      isPathWhole: (target) => reachability.isPathWhole(target),
      onCrash: (crash) => {
        suspects.recordCrash(crash);
      },
    });
    this.#signalRecorder = new TargetSignalRecorder({
      ...options,
      onLimitChange: (target) => {
        limits.recordLimitChange(target);
      },
    });
    this.#strayRecorder = new StrayRecorder(events);
    this.#overflow = new RegionOverflow({ clock, events, shiftLimit: settings.regionShiftLimit });
    this.#directory = createDirectory({
      settings,
      member: this.#member,
      overflow: this.#overflow,
      ownRecord: () => this.#record,
      utilization: () => this.#utilizationMeter.utilization,
    });
    this.#fairAdmission = createFairAdmission(options, accounts);
    const isDisabled = settings.disabledMechanisms.has('request-queue');
    this.#queue = new RequestQueue({ clock, afterPoll, isDisabled });
    this.#forwarder = new RequestForwarder({
      ...options,
      queue: this.#queue,
      fairAdmission: this.#fairAdmission,
      state,
      accounts,
      client: this.#client,
      crashDetector: this.#crashDetector,
      suspects,
      reachability,
      handovers: this.#handovers,
      signalRecorder: this.#signalRecorder,
      strayRecorder: this.#strayRecorder,
      limits: limits.limits,
      bodyReader: new BodyReader(clock, this.#budget, this.#shutdownWindow),
      shutdownWindow: this.#shutdownWindow,
      budget: this.#budget,
      responses: new ResponseWriter({
        ...options,
        view,
        state,
        knowledge: new ConfigurationKnowledge({ clock, member: this.#member, eventLoopDelay }),
        reachability,
        metrics: this.metrics,
      }),
      metrics: this.metrics,
      ownName: settings.name,
      isLagging: () => eventLoopDelay.isLagging,
      largeHosts: () => this.#largeHostNames.of(this.#member.recentHosts, this.#member.hostNames),
    });
    const onFailure = (error: unknown): void => {
      events.logger.error('request handler failed', { error: String(error) });
    };
    this.#trafficServer = new TrafficServer({
      shared: this.serverParts,
      handle: (request, response, path) => this.#forwarder.handle(request, response, path),
      onFailure,
      onConnection: () => {
        this.#queue.accepts.record();
      },
    });
    this.#handoverReceiver = new HandoverReceiver({
      admission: new HandoverAdmission({
        ownIncarnation: this.incarnation,
        capacity: settings.capacity,
        hosts: () => this.#member.hosts,
        utilization: () => this.#utilizationMeter.utilization,
        reachesNone: () => reachability.reachesNone,
        version: () => state.active?.version,
      }),
      forwarder: this.#forwarder,
      isLeaving: () => this.#member.isLeaving,
    });
    this.#controlServer = new ControlServer({
      clock,
      shared: this.serverParts,
      viewExchange: this.#member.viewExchange,
      metricsPage: this.metricsPage,
      handleHandover: (request, response, path) =>
        this.#handoverReceiver.handle(request, response, path),
      onFailure,
    });
    state.onConfiguration(({ limits }) => {
      this.#trafficServer.setLimits(limits);
    });
  }

  get state(): RoutingState {
    return this.#member.state;
  }

  /** Replica of the store's content. */
  get view(): FleetView {
    return this.#member.view;
  }

  /** Whether this host accepts callers. */
  get isReady(): boolean {
    return this.state.active !== undefined && !this.#member.isLeaving && this.#record !== undefined;
  }

  /** Registration with the bound ports; undefined before the start. */
  get addresses(): EntryHostRecord | undefined {
    return this.#record;
  }

  /** Metrics in the Prometheus text format. */
  metricsText(): string {
    const host = collectHostMetrics({
      ...this.#options,
      member: this.#member,
      crashDetector: this.#crashDetector,
      signalRecorder: this.#signalRecorder,
      strayRecorder: this.#strayRecorder,
      endlessAnswers: this.#endlessAnswers,
      client: this.#client,
      handovers: this.#handovers,
      handoverReceiver: this.#handoverReceiver,
      budget: this.#budget,
      fairAdmission: this.#fairAdmission,
      queue: this.#queue,
      overflow: this.#overflow,
      pool: this.serverParts.pool,
    });
    return metricsText(this.metrics, host);
  }

  /** Looks up the entry hosts for a caller. */
  directoryAnswer(query: DirectoryQuery): DirectoryAnswer {
    return this.#directory.answer(query);
  }

  /** Starts the servers and joins the fleet; refuses requests until a configuration is known. */
  async start(): Promise<void> {
    const { settings, events } = this.#options;
    const reportAddress = await this.#member.listen();
    const controlAddress = await this.#controlServer.listen(settings.controlAddress);
    const trafficAddress = await this.#trafficServer.listen(settings.trafficAddress);
    const { name, failureDomain, region, capacity } = settings;
    const { incarnation } = this;
    this.#record = {
      name,
      incarnation,
      failureDomain,
      region,
      trafficAddress,
      controlAddress,
      reportAddress,
      capacity,
    };
    this.#member.start(this.#record);
    const summary = new SummaryLog({
      ...this.#options,
      member: this.#member,
      metrics: this.metrics,
      queue: this.#queue,
    });
    this.#tasks.start('summary', (signal) => summary.run(signal));
    const startMilliseconds = Math.round(process.uptime() * 1_000);
    events.write({ event: 'started', incarnation, startMilliseconds });
  }

  /**
   * Shuts down gracefully, see {@link GracefulShutdown}.
   *
   * @returns number of requests that were aborted at the timeout
   */
  async stop(): Promise<number> {
    const { settings } = this.#options;
    const shutdown = new GracefulShutdown({
      ...this.#options,
      timeoutMilliseconds: settings.shutdownTimeoutMilliseconds,
      window: this.#shutdownWindow,
      metrics: this.metrics,
      trafficServer: this.#trafficServer,
      leave: () => this.#member.leave(),
      close: () => this.close(),
      forwarder: this.#forwarder,
    });
    return shutdown.run();
  }

  /** Shuts down immediately. */
  async close(): Promise<void> {
    await Promise.all([this.#trafficServer.close(), this.#controlServer.close()]);
    await Promise.all([this.#tasks.stop(), this.#member.close()]);
    await Promise.all([this.#client.close(), this.#peerClient.close()]);
  }
}
