import { EventLog, eventSchema, FleetMember } from '@ferrylock/entry';
import type {
  ConnectionCheck,
  EntryEvent,
  EntryHostRecord,
  EntryHostSettings,
} from '@ferrylock/entry';
import type { ClientAccount, DisabledMechanisms, Route, TargetState } from '@ferrylock/routing';
import { NO_DISABLED_MECHANISMS } from '@ferrylock/routing';
import type { Clock, Random } from '@ferrylock/utils';
import { randomIndex, SeededRandom, silentLogger } from '@ferrylock/utils';
import { CountingClock } from './counting-clock.js';
import { EmulatedNetwork } from './emulated-network.js';
import type { NetworkTraffic } from './emulated-network.js';
import { MemoryFleetStore } from './memory-fleet-store.js';
import { WayToStore } from './way-to-store.js';
import { fleetConfiguration, serviceName, TIMEOUT_MILLISECONDS } from './fleet-configuration.js';
import { makeRoute, makeTargetRecord } from './routes-and-targets.js';

/** Hosts that are started together are ready one after the other, by what they can carry. */
const START_SPREAD_MILLISECONDS = 2_000;
const LARGE_CAPACITY = 1.35;
const SMALL_CAPACITY = 0.27;
const MILLISECONDS_PER_SECOND = 1_000;
const CONNECT_TIMEOUT_MILLISECONDS = 300;
const ROUND_TRIP_MILLISECONDS = 1;

export interface EntryFleetOptions {
  readonly clock: Clock;
  readonly hosts: number;
  readonly domains: number;
  /** Large hosts of each failure domain; these alone have callers. */
  readonly largeHostsPerDomain: number;
  readonly targetsPerService: number;
  readonly services: number;
  readonly seed: number;
  /** Client accounts, where callers need one. */
  readonly accounts?: readonly ClientAccount[];
  /** Decisions that hosts do without, to compare with. */
  readonly disabledMechanisms?: DisabledMechanisms;
  /** Capacity of a host's link, each way; absent: nothing waits. */
  readonly linkBytesPerSecond?: (host: EntryHostRecord) => number;
  /** Time for which targets that leave keep serving; absent: 3 s. */
  readonly drainMilliseconds?: number;
  /** Items in one page of the store's listings; absent: all. */
  readonly listingPageItems?: number;
  readonly onEvent?: (host: string, event: EntryEvent) => void;
}

/** One host of the fleet. */
export interface EntryFleetHost {
  readonly member: FleetMember;
  readonly record: EntryHostRecord;
  /** Names it and determines its failure domain and capacity. */
  readonly number: number;
}

/**
 * The parts in which entry hosts deal with one another and the store, hundreds of them in one
 * process, on an in-memory network and by an injected clock. Callers are emulated at the large hosts:
 * their requests choose targets and stay in flight for the time of their work.
 */
export class EntryFleet {
  readonly store: MemoryFleetStore;
  readonly hosts: EntryFleetHost[] = [];
  readonly counts: NetworkTraffic = {
    datagrams: 0,
    bytes: 0,
    bytesBetweenRegions: 0,
    refusedDatagrams: 0,
    calls: 0,
    callBytes: 0,
    wakeUps: 0,
  };
  readonly network: EmulatedNetwork;
  /** Requests that found no target. */
  refused = 0;
  /** The same, by the host's name. */
  readonly refusedAt = new Map<string, number>();
  /** Requests that were sent, by the target's id. */
  readonly sent = new Map<string, number>();
  readonly #options: EntryFleetOptions;
  readonly #random: Random;
  readonly #waysToStore = new Map<string, WayToStore>();
  /** Names of hosts whose ways to targets are cut. */
  readonly #cutFromTargets = new Set<string>();
  #starts = 0;
  readonly #regions: Readonly<Record<string, string>>;

  constructor(options: EntryFleetOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.store = new MemoryFleetStore(options.clock, options.listingPageItems);
    this.network = new EmulatedNetwork({
      ...options,
      random: new SeededRandom(options.seed),
      counts: this.counts,
    });
    const domains = Array.from({ length: options.domains }, (_, index) => `domain-${index}`);
    this.#regions = Object.fromEntries(
      domains.map((domain, index) => [domain, `region-${index % 3}`]),
    );
    this.configure(1);
    this.addTargets(options.targetsPerService);
  }

  get routes(): readonly Route[] {
    return fleetConfiguration(this.#options).routes;
  }

  /** Confirms a version of the configuration, with further routes, as the operator does. */
  configure(version: number, furtherRoutes = 0): void {
    const { routes, ...others } = fleetConfiguration(this.#options);
    const further = Array.from({ length: furtherRoutes }, (_, index) =>
      makeRoute({ name: `further-${index}`, pathPrefix: `/further/${index}/` }),
    );
    const configuration = { ...others, routes: [...routes, ...further], version };
    this.store.put('configuration', { kind: 'configuration', configuration });
  }

  /** Makes all hosts, spread over the failure domains; each begins at once. */
  start(): void {
    for (let index = 0; index < this.#options.hosts; index++) {
      const wait = this.#random.next() * START_SPREAD_MILLISECONDS;
      this.#options.clock.after(wait, () => {
        this.#startHost(index);
      });
    }
  }

  /** Records so many further targets of each service, one after the other over the domains. */
  addTargets(count: number, coldMilliseconds = 0): string[] {
    const ids: string[] = [];
    for (let service = 0; service < this.#options.services; service++) {
      for (let index = 0; index < count; index++) {
        const id = `target-${service}-${randomIndex(this.#random, 1_000_000_000)}`;
        const failureDomain = `domain-${index % this.#options.domains}`;
        const name = serviceName(service);
        const target = makeTargetRecord({ id, service: name, failureDomain, coldMilliseconds });
        this.store.put(`targets/${id}`, { kind: 'target', target });
        ids.push(id);
      }
    }
    return ids;
  }

  /**
   * Begins to ask, at each large host, for objects of every service.
   *
   * @param perSecond - requests a second of the whole fleet
   * @param workMilliseconds - how long each is in flight
   */
  addCallers(perSecond: number, workMilliseconds: number, keys = 200): void {
    const large = this.hosts.filter(({ record }) => record.capacity === LARGE_CAPACITY);
    for (const host of large) {
      this.#addCallersOf(host, perSecond / large.length, workMilliseconds, keys);
    }
  }

  /** The same at the host at a place alone, with its requests a second. */
  addCallersAt(index: number, perSecond: number, workMilliseconds: number, keys = 200): void {
    this.#addCallersOf(this.#hostAt(index), perSecond, workMilliseconds, keys);
  }

  #addCallersOf(
    host: EntryFleetHost,
    perSecond: number,
    workMilliseconds: number,
    keys: number,
  ): void {
    const gap = MILLISECONDS_PER_SECOND / perSecond;
    const ask = (): void => {
      this.#ask(host, workMilliseconds, keys);
      this.#options.clock.after(2 * gap * this.#random.next(), ask);
    };
    this.#options.clock.after(gap * this.#random.next(), ask);
  }

  #ask({ member, record }: EntryFleetHost, workMilliseconds: number, keys: number): void {
    const service = member.state.service(
      serviceName(randomIndex(this.#random, this.#options.services)),
    );
    const route = this.routes.find(({ shares }) => shares[0]?.service === service?.name);
    if (service === undefined || route === undefined) {
      this.#refuse(record.name);
      return;
    }
    service.requestRate.record();
    service.retryBudget.recordRequest();
    const target = service.select({
      route,
      key: `key-${randomIndex(this.#random, keys)}`,
      tried: new Set(),
      lowestPriority: 2,
      ownName: record.name,
      coldSenders: member.hostNames,
    });
    if (target === undefined) {
      this.#refuse(record.name);
      return;
    }
    this.sent.set(target.id, (this.sent.get(target.id) ?? 0) + 1);
    this.#work(member, record.name, target, workMilliseconds);
  }

  #refuse(host: string): void {
    this.refused++;
    this.refusedAt.set(host, (this.refusedAt.get(host) ?? 0) + 1);
  }

  /** A request that does not reach its target, or whose answer is lost, stays in flight to the end of its time. */
  #work(
    { reachability }: FleetMember,
    host: string,
    target: TargetState,
    workMilliseconds: number,
  ): void {
    const isLost = this.#cutFromTargets.has(host);
    target.inFlight++;
    reachability.recordSend(target);
    this.#options.clock.after(isLost ? TIMEOUT_MILLISECONDS : workMilliseconds, () => {
      target.inFlight--;
      reachability.recordEnd(target);
      if (!isLost && !this.#cutFromTargets.has(host)) {
        reachability.recordAnswer(target);
      }
    });
  }

  /** Ends the host at a place without notice; it starts again as another process after some time. */
  async restartHost(index: number, downMilliseconds: number): Promise<void> {
    const host = this.#hostAt(index);
    this.network.disconnect(host.record);
    await host.member.close();
    await this.#options.clock.sleep(downMilliseconds);
    this.#startHost(host.number);
  }

  /** Cuts the host at a place off from the other hosts, or ends that; the store is reached all the time. */
  setCut(index: number, isCut: boolean): void {
    this.network.setCut(this.#hostAt(index).record.name, isCut);
  }

  /**
   * Starts one host more.
   *
   * @param index - its number, which names it
   */
  addHost(index = this.hosts.length): void {
    this.#startHost(index);
  }

  /** Cuts the host at a place off from all targets, or ends that: connection attempts and answers are lost. */
  setTargetsCut(index: number, isCut: boolean): void {
    const { name } = this.#hostAt(index).record;
    if (isCut) {
      this.#cutFromTargets.add(name);
    } else {
      this.#cutFromTargets.delete(name);
    }
  }

  /** Cuts the host at a place off from the store, or ends that. */
  setStoreCut(index: number, isCut: boolean): void {
    const way = this.#waysToStore.get(this.#hostAt(index).record.name);
    if (way !== undefined) {
      way.isCut = isCut;
    }
  }

  /** The host at a place of {@link hosts}, which are in the order of their first starts. */
  #hostAt(index: number): EntryFleetHost {
    const host = this.hosts[index];
    if (host === undefined) {
      throw new Error(`expected a host at place ${index}, there are ${this.hosts.length}`);
    }
    return host;
  }

  #startHost(index: number): void {
    const { clock, domains, largeHostsPerDomain } = this.#options;
    const place = Math.floor(index / domains);
    const failureDomain = `domain-${index % domains}`;
    const region = this.#regions[failureDomain] ?? '';
    const record: EntryHostRecord = {
      name: `host-${index}`,
      incarnation: `start-${this.#starts++}-${index}`,
      failureDomain,
      region,
      trafficAddress: `10.0.0.${index}:1`,
      controlAddress: `10.0.0.${index}:2`,
      reportAddress: `10.0.0.${index}:3`,
      capacity: place < largeHostsPerDomain ? LARGE_CAPACITY : SMALL_CAPACITY,
    };
    const store = new WayToStore(this.store, clock, (bytes) => this.network.receive(record, bytes));
    this.#waysToStore.set(record.name, store);
    const member = new FleetMember({
      settings: this.#settings(record),
      clock: new CountingClock(clock, this.counts),
      random: new SeededRandom(this.#options.seed + index),
      events: this.#eventLog(record.name),
      store,
      peerCalls: this.network.callsOf(record),
      createTransport: (onMessage) => this.network.createTransport(record, onMessage),
      checkConnection: () => this.#checkConnection(record.name),
      hasIdleConnection: () => false,
      onSweep: () => undefined,
      utilization: () => 0.05,
    });
    this.network.connect(record, member);
    this.#putHost({ member, record, number: index });
    void member.listen().then(() => {
      member.start(record);
    });
  }

  async #checkConnection(host: string): Promise<ConnectionCheck> {
    const isCut = this.#cutFromTargets.has(host);
    await this.#options.clock.sleep(isCut ? CONNECT_TIMEOUT_MILLISECONDS : ROUND_TRIP_MILLISECONDS);
    return isCut ? 'unknown' : 'taken';
  }

  /** A host that starts again takes the place of its former self. */
  #putHost(host: EntryFleetHost): void {
    const former = this.hosts.findIndex(({ record }) => record.name === host.record.name);
    if (former < 0) {
      this.hosts.push(host);
    } else {
      this.hosts[former] = host;
    }
  }

  #settings(record: EntryHostRecord): EntryHostSettings {
    return {
      ...record,
      regions: this.#regions,
      seedAddresses: [],
      maxBufferedBodyBytes: 1,
      maxClientConnections: 1_000,
      maxWaitingBytes: 1_000_000,
      shutdownTimeoutMilliseconds: 6_000,
      drainMilliseconds: this.#options.drainMilliseconds ?? 3_000,
      retryBudget: { ratio: 0.2, slack: 430, windowMilliseconds: 10_000 },
      regionShiftLimit: { share: 0.15, windowMilliseconds: 2_000 },
      quotaPolicy: { windowMilliseconds: 5_000, overage: 0.1, slack: 20 },
      isFirstStart: true,
      disabledMechanisms: this.#options.disabledMechanisms ?? NO_DISABLED_MECHANISMS,
      maxDirectoryTtlMilliseconds: 5_000,
    };
  }

  #eventLog(host: string): EventLog {
    const { onEvent } = this.#options;
    if (onEvent === undefined) {
      return new EventLog(silentLogger);
    }
    const info = (event: string, fields?: Readonly<Record<string, unknown>>): void => {
      onEvent(host, eventSchema.parse({ ...fields, event }));
    };
    return new EventLog({ ...silentLogger, info });
  }
}
