import type {
  AdmissionFailure,
  AdmittedRoute,
  CallerLimits,
  ConfigurationProblem,
  DisabledMechanisms,
  RetryBudgetSettings,
  Route,
  RouteConfiguration,
  RegionShiftLimit,
  TargetLimits,
  TargetRecord,
  TargetState,
} from '@ferrylock/routing';
import {
  AccountTable,
  targetIdOf,
  OverflowBudget,
  RouteTable,
  ServiceTargets,
} from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import { Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { EventLog } from '../event-log.js';
import type { FleetChange } from '../fleet/fleet-record.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { StoreAbsence } from '../fleet/store-health.js';
import { VanishedTargets } from './vanished-targets.js';

export interface RoutingStateOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly view: FleetView;
  readonly ownName: string;
  readonly ownRegion: string;
  /** Region of each failure domain. */
  readonly regions: Readonly<Record<string, string>>;
  readonly drainMilliseconds: number;
  readonly retryBudget: RetryBudgetSettings;
  readonly regionShiftLimit: RegionShiftLimit;
  readonly limits: Pick<TargetLimits, 'tryAcquire' | 'waitMilliseconds'>;
  readonly disabledMechanisms: DisabledMechanisms;
  /** Tells whether requests to a target are expected to reach it; all are by default. */
  readonly isReachable?: (target: TargetState) => boolean;
  /** The present or latest absence of the store. */
  readonly storeAbsence: () => StoreAbsence | undefined;
}

/** A configuration with its lookup tables. */
interface ActiveConfiguration {
  readonly version: number;
  /** Monotonic time in milliseconds at which it became active. */
  readonly activeSince: number;
  readonly routes: RouteTable;
  /** Whether some accounts name the regions that may serve them. */
  readonly accountsHaveHomes: boolean;
  readonly limits: CallerLimits;
  /** The first parts of it that cannot be read. */
  readonly problems: readonly ConfigurationProblem[];
  /** Admits a caller to a route by its account key. */
  readonly admit: (
    route: Route,
    key: string | undefined,
  ) => Result<AdmittedRoute, AdmissionFailure>;
  /** Largest priority number of any request. */
  readonly lowestPriority: number;
}

/** Service and failure domain of a target's address, as last recorded. */
interface TargetLocation {
  readonly service: ServiceTargets;
  readonly failureDomain: string;
}

/** Routing state of this host: the newest configuration and the targets of all services. */
export class RoutingState {
  readonly #options: RoutingStateOptions;
  readonly #services = new Map<string, ServiceTargets>();
  readonly #serviceOfTarget = new Map<string, ServiceTargets>();
  readonly #targetOfKey = new Map<string, string>();
  readonly #locationOfAddress = new Map<string, TargetLocation>();
  readonly #evacuated = new Map<string, string>();
  readonly #vanished: VanishedTargets;
  readonly #overflows: OverflowBudget;
  readonly #listeners: ((configuration: RouteConfiguration) => void)[] = [];
  #active: ActiveConfiguration | undefined;

  constructor(options: RoutingStateOptions) {
    this.#options = options;
    this.#vanished = new VanishedTargets(options);
    this.#overflows = new OverflowBudget({ ...options, bound: options.regionShiftLimit });
    options.view.onChanges((changes) => {
      this.#applyChanges(changes);
    });
  }

  /** Active configuration; undefined while none is known. */
  get active(): ActiveConfiguration | undefined {
    return this.#active;
  }

  /** Monotonic time in milliseconds at which the store was last known to hold nothing newer. */
  get confirmedAt(): number {
    return this.#options.view.confirmedAt;
  }

  get services(): Iterable<ServiceTargets> {
    return this.#services.values();
  }

  /** Failure domains whose targets receive no requests. */
  get evacuatedDomains(): ReadonlySet<string> {
    return new Set(this.#evacuated.values());
  }

  service(name: string): ServiceTargets | undefined {
    return this.#services.get(name);
  }

  /** Adds a listener that is called with each configuration that becomes active. */
  onConfiguration(listener: (configuration: RouteConfiguration) => void): void {
    this.#listeners.push(listener);
  }

  serviceOfTarget(id: string): ServiceTargets | undefined {
    return this.#serviceOfTarget.get(id);
  }

  /** Finds a target by its incarnation; undefined if another incarnation is known by now. */
  targetOfStart(name: string): TargetState | undefined {
    const id = targetIdOf(name);
    const target = this.#serviceOfTarget.get(id)?.targets.get(id);
    return target?.incarnationId === name ? target : undefined;
  }

  /** Failure domain of the target at an address; undefined if none is known there. */
  failureDomainOf(address: string): string | undefined {
    return this.#locationOfAddress.get(address)?.failureDomain;
  }

  /** Records the time that establishing a connection to a target took. */
  recordConnectTime(address: string, milliseconds: number): void {
    const location = this.#locationOfAddress.get(address);
    location?.service.roundTripTimes.record(location.failureDomain, milliseconds);
  }

  /**
   * Updates the assignment of keys to regions.
   *
   * @param requestsPerSecond - demand for a service by callers of a region; undefined if unknown
   */
  updatePlacement(
    requestsPerSecond: (service: string, region: string) => number | undefined,
  ): void {
    const { ownRegion, view } = this.#options;
    let demand = 0;
    for (const service of this.#services.values()) {
      service.updatePlacement((region) => requestsPerSecond(service.name, region));
      demand += requestsPerSecond(service.name, ownRegion) ?? 0;
    }
    const hostsOfRegion = view.records('entryHost').filter(({ host }) => host.region === ownRegion);
    this.#overflows.setRegion(demand, hostsOfRegion.length);
  }

  /** Logs the regions in which each service's keys are served. */
  logPlacement(): void {
    for (const { name, placement } of this.#services.values()) {
      const regions = placement.parts;
      if (regions.length > 1) {
        this.#options.events.write({ event: 'placement', service: name, regions });
      }
    }
  }

  /** Removes targets whose record has been missing too long; call a few times per second. */
  sweep(): void {
    for (const { id, isDoubted } of this.#vanished.removeExpired()) {
      this.#removeTarget(id, isDoubted ? 'vanished while the store was away' : 'vanished');
    }
  }

  #applyChanges(changes: readonly FleetChange[]): void {
    const vanishedOf = new Map<ServiceTargets, string[]>();
    for (const { key, record } of changes) {
      if (record?.kind === 'configuration') {
        this.#activate(record.configuration);
      } else if (record?.kind === 'evacuation') {
        this.#evacuated.set(key, record.failureDomain);
      } else if (record?.kind === 'target') {
        this.#putTarget(key, record.target);
      } else if (record === undefined) {
        this.#evacuated.delete(key);
        this.#collectVanished(key, vanishedOf);
      }
    }
    for (const [service, ids] of vanishedOf) {
      const milliseconds = this.#vanished.add(ids, service.targets.size);
      this.#options.clock.after(milliseconds, () => {
        this.sweep();
      });
    }
  }

  #activate(configuration: RouteConfiguration): void {
    if (this.#active !== undefined && configuration.version <= this.#active.version) {
      return;
    }
    const { version, routes, services, limits } = configuration;
    const lowestRoutePriority = routes.reduce(
      (lowest, { priority }) => Math.max(lowest, priority),
      0,
    );
    const accounts =
      configuration.accounts &&
      new AccountTable(configuration.accounts, lowestRoutePriority, configuration.unusableAccounts);
    const lowestPriority = accounts?.lowestPriority ?? lowestRoutePriority;
    const { clock, view } = this.#options;
    const activeSince = clock.now();
    this.#active = {
      version,
      activeSince,
      routes: new RouteTable(routes, configuration.unusableRoutes),
      accountsHaveHomes: (configuration.accounts ?? []).some(
        ({ homeRegions }) => homeRegions.length > 0,
      ),
      limits,
      problems: configuration.problems ?? [],
      admit: (route, key) => accounts?.admit(route, key) ?? Ok({ route, account: undefined }),
      lowestPriority,
    };
    for (const settings of services) {
      this.#getOrCreateService(settings.name).settings = settings;
    }
    for (const listener of this.#listeners) {
      listener(configuration);
    }
    this.#options.events.write({
      event: 'configuration',
      version,
      routes: routes.length,
      accounts: accounts?.accounts.length ?? 0,
      ...(Number.isFinite(view.confirmedAt)
        ? { delayMilliseconds: Math.round(activeSince - view.confirmedAt) }
        : {}),
    });
    this.#logProblems(configuration);
  }

  #logProblems(configuration: RouteConfiguration): void {
    const {
      version,
      problems = [],
      problemCount,
      unusableRoutes,
      unusableAccounts,
    } = configuration;
    if (problems.length > 0) {
      this.#options.events.write({
        event: 'configuration-problems',
        version,
        count: problemCount ?? problems.length,
        problems,
        unusableRoutes: unusableRoutes?.length ?? 0,
        unusableAccounts: unusableAccounts?.length ?? 0,
      });
    }
  }

  #putTarget(key: string, record: TargetRecord): void {
    const service = this.#getOrCreateService(record.service);
    const former = this.#serviceOfTarget.get(record.id);
    if (former?.isStale(record) === true) {
      return;
    }
    if (former !== undefined && former !== service) {
      this.#removeTarget(record.id, 'moved to another service');
    }
    const known = service.targets.get(record.id);
    const outcome = service.put(record);
    const wasLeaving = outcome === 'updated' && known?.leaving === true;
    this.#serviceOfTarget.set(record.id, service);
    this.#targetOfKey.set(key, record.id);
    const { address, failureDomain } = record;
    this.#locationOfAddress.set(address, { service, failureDomain });
    const returned = this.#vanished.remove(record.id);
    if (returned || outcome !== 'updated') {
      this.#logTarget(record.id, service, outcome === 'updated' ? 'returned' : outcome);
    }
    if (!wasLeaving && record.state === 'draining') {
      this.#logTarget(record.id, service, 'draining');
    }
  }

  #collectVanished(key: string, vanishedOf: Map<ServiceTargets, string[]>): void {
    const id = this.#targetOfKey.get(key);
    const service = id === undefined ? undefined : this.#serviceOfTarget.get(id);
    if (id === undefined || service === undefined) {
      return;
    }
    if (service.targets.get(id)?.leaving === true) {
      this.#removeTarget(id, 'left');
      return;
    }
    this.#logTarget(id, service, 'vanished');
    vanishedOf.set(service, [...(vanishedOf.get(service) ?? []), id]);
  }

  #removeTarget(id: string, detail: string): void {
    const service = this.#serviceOfTarget.get(id);
    if (service === undefined) {
      return;
    }
    const address = service.targets.get(id)?.record.address ?? '';
    service.remove(id);
    this.#serviceOfTarget.delete(id);
    if (this.#locationOfAddress.get(address)?.service === service) {
      this.#locationOfAddress.delete(address);
    }
    this.#logTarget(id, service, 'removed', detail);
  }

  #getOrCreateService(name: string): ServiceTargets {
    const known = this.#services.get(name);
    if (known !== undefined) {
      return known;
    }
    const regions = new Map(Object.entries(this.#options.regions));
    const created = new ServiceTargets(name, {
      ...this.#options,
      overflows: this.#overflows,
      regionOf: (failureDomain) => regions.get(failureDomain) ?? failureDomain,
      isEvacuated: (failureDomain) => this.#isEvacuated(failureDomain),
    });
    this.#services.set(name, created);
    return created;
  }

  #isEvacuated(failureDomain: string): boolean {
    for (const evacuated of this.#evacuated.values()) {
      if (evacuated === failureDomain) {
        return true;
      }
    }
    return false;
  }

  #logTarget(
    target: string,
    service: ServiceTargets,
    state: 'added' | 'reborn' | 'draining' | 'vanished' | 'returned' | 'removed',
    detail?: string,
  ): void {
    const start = service.targets.get(target)?.incarnationId;
    const event = {
      event: 'target',
      target,
      ...(start === undefined ? {} : { start }),
      service: service.name,
      state,
    } as const;
    this.#options.events.write(detail === undefined ? event : { ...event, detail });
  }
}
