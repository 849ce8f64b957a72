import { randomUUID } from 'node:crypto';
import { BackgroundTasks } from '@ferrylock/utils';
import type { Clock, Random } from '@ferrylock/utils';
import { UtilizationMeter } from './utilization-meter.js';
import { Directory } from './directory.js';
import type { DirectoryAnswer } from './directory.js';
import type { EntryHostSettings } from './entry-host-settings.js';
import type { EventLog } from './events.js';
import type { EntryHostRecord } from './fleet/fleet-record.js';
import type { FleetStore } from './fleet/fleet-store.js';
import type { FleetView } from './fleet/fleet-view.js';
import { largeHosts } from './fleet/large-hosts.js';
import { reportedEpochOf } from './fleet/store-position.js';
import { FleetMember } from './fleet-member.js';
import { metricsText } from './metrics-text.js';
import { PeerClient } from './peers/peer-client.js';
import { UdpTransport } from './peers/udp-transport.js';
import { ResponseWriter } from './request/response-writer.js';
import { BodyReader } from './request/body-reader.js';
import type { HeaderCodec } from './request/header-codec.js';
import { RequestForwarder } from './request/request-forwarder.js';
import { RequestMetrics } from './request/request-metrics.js';
import { TargetClient } from './request/target-client.js';
import { TargetSignalRecorder } from './request/target-signal-recorder.js';
import { limitedTargets } from './routing/limited-targets.js';
import { restingTargets } from './routing/resting-targets.js';
import type { RoutingState } from './routing/routing-state.js';
import { EventLoopDelay } from './event-loop-delay.js';
import { checkConnection } from './suspects/check-connection.js';
import { TargetCrashDetector } from './suspects/target-crash-detector.js';
import { ControlServer } from './servers/control-server.js';
import { TrafficServer } from './servers/traffic-server.js';

/** Time between two summaries in the log. */
const SUMMARY_MILLISECONDS = 5_000;
/** Time between two looks at whether all requests in flight have ended. */
const DRAIN_CHECK_MILLISECONDS = 20;
/** Time at the end of a planned stop that is left for closing. */
const CLOSING_MILLISECONDS = 400;
/** Part of the time for a stop during which new connections are still taken. */
const SERVING_SHARE = 0.6;

export interface EntryHostOptions {
  readonly settings: EntryHostSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly store: FleetStore;
  readonly codec: HeaderCodec;
}

/** One entry host's process: callers' requests, the directory, and its part in the fleet. */
export class EntryHost {
  readonly incarnation = randomUUID().slice(0, 8);
  readonly metrics = new RequestMetrics();
  readonly #options: EntryHostOptions;
  readonly #tasks: BackgroundTasks;
  readonly #busy = new UtilizationMeter();
  readonly #member: FleetMember;
  readonly #client: TargetClient;
  readonly #ends: TargetCrashDetector;
  readonly #words: TargetSignalRecorder;
  readonly #directory: Directory;
  readonly #front: TrafficServer;
  readonly #control: ControlServer;
  #own: EntryHostRecord | undefined;
  #largeHosts: { readonly of: readonly EntryHostRecord[]; readonly names: readonly string[] };

  constructor(options: EntryHostOptions) {
    this.#options = options;
    const { settings, clock, events } = options;
    this.#tasks = new BackgroundTasks(events.logger);
    const runDelay = new EventLoopDelay(clock);
    this.#member = new FleetMember({
      ...options,
      peerCalls: new PeerClient(),
      createTransport: (onMessage) => new UdpTransport(events, onMessage),
      onSweep: (lateMilliseconds) => {
        this.#busy.sample();
        runDelay.record(lateMilliseconds);
      },
      utilization: () => this.#busy.utilization,
    });
    this.#largeHosts = { of: [], names: [settings.name] };
    const { view, state, peers, accounts, limits, suspects } = this.#member;
    this.#client = new TargetClient({
      clock,
      onConnected: (address, milliseconds) => {
        state.recordConnectTime(address, milliseconds);
      },
    });
    this.#ends = new TargetCrashDetector({
      clock,
      events,
      checkConnection,
      onCrash: (end) => {
        suspects.recordCrash(end);
      },
    });
    this.#words = new TargetSignalRecorder({
      ...options,
      onLimitChange: (target) => {
        limits.recordLimitChange(target);
      },
    });
    this.#directory = new Directory({
      view,
      peers,
      own: () =>
        this.#member.isLeaving || this.#own === undefined
          ? undefined
          : { host: this.#own, utilization: this.#busy.utilization },
      maxTtlMilliseconds: settings.maxDirectoryTtlMilliseconds,
    });
    const forwarder = new RequestForwarder({
      ...options,
      state,
      accounts,
      client: this.#client,
      crashDetector: this.#ends,
      suspects,
      signalRecorder: this.#words,
      limits: limits.limits,
      bodyReader: new BodyReader(clock, settings.maxBufferedBodyBytes),
      responses: new ResponseWriter({ ...options, view, metrics: this.metrics }),
      metrics: this.metrics,
      ownName: settings.name,
      isLagging: () => runDelay.isLagging,
      hosts: () => this.#member.hostNames,
      largeHosts: () => this.#largeHostNames(),
    });
    this.#front = new TrafficServer({
      handle: (request, response, path) => forwarder.handle(request, response, path),
      onFailure: (error) => {
        events.logger.error('request handler failed', { error: String(error) });
      },
    });
    this.#control = new ControlServer({
      viewExchange: this.#member.viewExchange,
      metricsText: () => this.metricsText(),
    });
    state.onConfiguration(({ limits }) => {
      this.#front.setLimits(limits);
    });
  }

  /** What requests are routed by. */
  get state(): RoutingState {
    return this.#member.state;
  }

  /** What it believes that the store holds. */
  get view(): FleetView {
    return this.#member.view;
  }

  /** Whether callers are to be sent here. */
  get isReady(): boolean {
    return this.state.active !== undefined && !this.#member.isLeaving && this.#own !== undefined;
  }

  /** Where it can be reached, with the ports that were taken; undefined before the start. */
  get addresses(): EntryHostRecord | undefined {
    return this.#own;
  }

  /** Figures in the Prometheus text format. */
  metricsText(): string {
    const { clock, events } = this.#options;
    const { view, peers, state, hosts, limits, storeProgress } = this.#member;
    const services = [...state.services];
    return metricsText(this.metrics, {
      beliefAgeMilliseconds: clock.now() - view.confirmedAt,
      knownRevision: view.revision,
      store: {
        epoch: Math.max(storeProgress.epoch, reportedEpochOf(view.epoch)),
        revision: storeProgress.revision,
        refusedListings: storeProgress.refusedListings,
      },
      configurationVersion: state.active?.version,
      peersHeard: hosts.filter((host) => peers.isAlive(host)).length,
      targetsKnown: services.reduce((sum, { targets }) => sum + targets.size, 0),
      logLinesDropped: events.dropped,
      unreadableRecords: events.unreadable,
      targetsEnded: this.#ends.crashes,
      rests: this.#words.rests,
      unwantedSends: this.#words.unwantedSends,
      targetsSaidLeaving: this.#words.leaving,
      resting: restingTargets(services, clock.now()),
      limits: this.#words.limits,
      limitedSends: this.#words.limitedSends,
      limited: limitedTargets(services, limits.limits),
      suspectRequests: this.#member.suspects.table.suspects.length,
    });
  }

  /** Which entry hosts a caller of this region is to use. */
  directoryAnswer(region: string): DirectoryAnswer {
    return this.#directory.answer(region);
  }

  /** Listens and begins to learn; requests are refused until a configuration is known. */
  async start(): Promise<void> {
    const { settings, events } = this.#options;
    const reportAddress = await this.#member.listen();
    const controlAddress = await this.#control.listen(settings.controlAddress);
    const trafficAddress = await this.#front.listen(settings.trafficAddress);
    const { name, failureDomain, region, capacity } = settings;
    this.#own = {
      name,
      incarnation: this.incarnation,
      failureDomain,
      region,
      trafficAddress,
      controlAddress,
      reportAddress,
      capacity,
    };
    this.#member.start(this.#own);
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
    const stopAt = clock.now() + settings.shutdownTimeoutMilliseconds;
    events.write({ event: 'stopping', inFlight: this.metrics.inFlight });
    this.#front.beginDraining();
    const withdrawn = this.#member.leave();
    await clock.sleep(settings.shutdownTimeoutMilliseconds * SERVING_SHARE);
    this.#front.closeIdleConnections();
    while (this.metrics.inFlight > 0 && clock.now() < stopAt - CLOSING_MILLISECONDS) {
      await clock.sleep(DRAIN_CHECK_MILLISECONDS);
    }
    const cut = this.metrics.inFlight;
    events.write({ event: 'stopped', cut, accounts: this.metrics.accounts.rows });
    await Promise.race([withdrawn, clock.sleep(CLOSING_MILLISECONDS)]);
    await this.close();
    return cut;
  }

  /** Ends everything at once. */
  async close(): Promise<void> {
    await Promise.all([this.#tasks.stop(), this.#member.close()]);
    await Promise.all([this.#front.close(), this.#control.close()]);
    await this.#client.close();
  }

  /** Hosts that are likely to have a request at any moment; the same array while nothing changes. */
  #largeHostNames(): readonly string[] {
    const { hosts, hostNames } = this.#member;
    if (this.#largeHosts.of !== hosts) {
      const large = largeHosts(hosts, (record) => record).map(({ name }) => name);
      this.#largeHosts = { of: hosts, names: large.length > 0 ? large : hostNames };
    }
    return this.#largeHosts.names;
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
