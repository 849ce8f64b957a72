import type {
  AdmissionFailure,
  AdmittedRoute,
  CallerLimits,
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
import type { EventLog } from '../events.js';
import type { FleetChange } from '../fleet/fleet-record.js';
import type { FleetView } from '../fleet/fleet-view.js';
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
  /** When the store last began to answer after a fault; infinite while it does not answer. */
  readonly storeAvailableSince: () => number;
}

/** A configuration with what is looked up in it. */
interface ActiveConfiguration {
  readonly version: number;
  readonly routes: RouteTable;
  readonly limits: CallerLimits;
  /** What a caller may do on a route, by the key that it shows. */
  readonly admit: (
    route: Route,
    key: string | undefined,
  ) => Result<AdmittedRoute, AdmissionFailure>;
  /** Largest rank number of any request. */
  readonly leastUrgent: number;
}

/** Whose address it is, as last recorded. */
interface TargetLocation {
  readonly service: ServiceTargets;
  readonly failureDomain: string;
}

/** What requests are routed by: the newest configuration, and all services' targets. */
export class RoutingState {
  readonly #options: RoutingStateOptions;
  readonly #services = new Map<string, ServiceTargets>();
  readonly #serviceOfTarget = new Map<string, ServiceTargets>();
  readonly #targetOfKey = new Map<string, string>();
  readonly #placeOfAddress = new Map<string, TargetLocation>();
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
      this.#takeChanges(changes);
    });
  }

  /** The configuration in force; undefined while none is known. */
  get active(): ActiveConfiguration | undefined {
    return this.#active;
  }

  /** When the store is known to have held nothing newer, in monotonic milliseconds. */
  get confirmedAt(): number {
    return this.#options.view.confirmedAt;
  }

  get services(): Iterable<ServiceTargets> {
    return this.#services.values();
  }

  /** Failure domains to whose targets nothing more goes. */
  get evacuatedDomains(): ReadonlySet<string> {
    return new Set(this.#evacuated.values());
  }

  service(name: string): ServiceTargets | undefined {
    return this.#services.get(name);
  }

  /** Calls back with each configuration that comes in force. */
  onConfiguration(listener: (configuration: RouteConfiguration) => void): void {
    this.#listeners.push(listener);
  }

  serviceOfTarget(id: string): ServiceTargets | undefined {
    return this.#serviceOfTarget.get(id);
  }

  /** A start of a target, unless another start of it is known by now. */
  targetOfStart(name: string): TargetState | undefined {
    const id = targetIdOf(name);
    const target = this.#serviceOfTarget.get(id)?.targets.get(id);
    return target?.incarnationId === name ? target : undefined;
  }

  /** A connection to a target came up in so many milliseconds. */
  recordConnectTime(address: string, milliseconds: number): void {
    const updatePlacement = this.#placeOfAddress.get(address);
    updatePlacement?.service.roundTripTimes.record(updatePlacement.failureDomain, milliseconds);
  }

  /**
   * Decides anew which keys stay in which region.
   *
   * @param requestsPerSecond - what a region's callers ask of a service; undefined while unknown
   */
  place(requestsPerSecond: (service: string, region: string) => number | undefined): void {
    const { ownRegion, view } = this.#options;
    let asked = 0;
    for (const service of this.#services.values()) {
      service.updatePlacement((region) => requestsPerSecond(service.name, region));
      asked += requestsPerSecond(service.name, ownRegion) ?? 0;
    }
    const near = view.records('entryHost').filter(({ host }) => host.region === ownRegion);
    this.#overflows.setRegion(asked, near.length);
  }

  /** Writes down where each service's keys are served. */
  logPlacement(): void {
    for (const { name, placement } of this.#services.values()) {
      const regions = placement.parts;
      if (regions.length > 1) {
        this.#options.events.write({ event: 'placement', service: name, regions });
      }
    }
  }

  /** To be called a few times a second: drops targets that vanished and did not come back. */
  sweep(): void {
    for (const id of this.#vanished.removeExpired(this.#options.storeAvailableSince())) {
      this.#removeTarget(id, 'vanished');
    }
  }

  #takeChanges(changes: readonly FleetChange[]): void {
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
      this.#vanished.add(ids, service.targets.size, this.#options.storeAvailableSince());
    }
  }

  #activate(configuration: RouteConfiguration): void {
    if (this.#active !== undefined && configuration.version <= this.#active.version) {
      return;
    }
    const { version, routes, services, limits } = configuration;
    const leastUrgentRoute = routes.reduce((least, { priority }) => Math.max(least, priority), 0);
    const accounts =
      configuration.accounts && new AccountTable(configuration.accounts, leastUrgentRoute);
    const leastUrgent = accounts?.lowestPriority ?? leastUrgentRoute;
    this.#active = {
      version,
      routes: new RouteTable(routes),
      limits,
      admit: (route, key) => accounts?.admit(route, key) ?? Ok({ route, account: undefined }),
      leastUrgent,
    };
    for (const settings of services) {
      this.#serviceNamed(settings.name).settings = settings;
    }
    for (const listener of this.#listeners) {
      listener(configuration);
    }
    this.#options.events.write({
      event: 'configuration',
      version,
      routes: routes.length,
      accounts: accounts?.accounts.length ?? 0,
    });
  }

  #putTarget(key: string, record: TargetRecord): void {
    const service = this.#serviceNamed(record.service);
    const former = this.#serviceOfTarget.get(record.id);
    if (former?.isStale(record) === true) {
      return;
    }
    if (former !== undefined && former !== service) {
      this.#removeTarget(record.id, 'serves another service');
    }
    const known = service.targets.get(record.id);
    const outcome = service.put(record);
    const wasLeaving = outcome === 'updated' && known?.leaving === true;
    this.#serviceOfTarget.set(record.id, service);
    this.#targetOfKey.set(key, record.id);
    const { address, failureDomain } = record;
    this.#placeOfAddress.set(address, { service, failureDomain });
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
    if (this.#placeOfAddress.get(address)?.service === service) {
      this.#placeOfAddress.delete(address);
    }
    this.#logTarget(id, service, 'removed', detail);
  }

  #serviceNamed(name: string): ServiceTargets {
    const known = this.#services.get(name);
    if (known !== undefined) {
      return known;
    }
    const { regions } = this.#options;
    const created = new ServiceTargets(name, {
      ...this.#options,
      overflows: this.#overflows,
      regionOf: (failureDomain) => regions[failureDomain] ?? failureDomain,
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
