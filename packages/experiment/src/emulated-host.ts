import type {
  DisabledMechanisms,
  Route,
  SelectionRequest,
  RegionShiftLimit,
  TargetState,
} from '@ferrylock/routing';
import { NO_LIMITS, OverflowBudget, ServiceTargets } from '@ferrylock/routing';
import type { EmulatedTarget } from './emulated-target.js';
import type { Scenario } from './scenario.js';
import type { VirtualTime } from './virtual-time.js';

/** As the users' deployments have it. */
const RETRY_BOUND = { ratio: 0.2, slack: 64, windowMilliseconds: 10_000 };
const SHIFT_WINDOW_MILLISECONDS = 2_000;
/** What the rest of the fleet tells comes from one source. */
const FLEET = 'fleet';

/** What all hosts told at one moment: requests at targets, and requests a second by service and region. */
export interface FleetReport {
  readonly inFlight: ReadonlyMap<string, number>;
  readonly asked: ReadonlyMap<string, number>;
}

export interface EmulatedHostOptions {
  readonly name: string;
  readonly region: string;
  readonly scenario: Scenario;
  readonly time: VirtualTime;
  readonly disabledMechanisms: DisabledMechanisms;
  readonly isEvacuated: (region: string) => boolean;
  /** Names of all hosts; one array. */
  readonly hosts: readonly string[];
}

/** Names a service's callers of one region in a report. */
export function askedKey(service: string, region: string): string {
  return `${region} ${service}`;
}

/** An entry host: the decisions of the product, with what it learns from answers and reports. */
export class EmulatedHost {
  readonly options: EmulatedHostOptions;
  readonly #services = new Map<string, ServiceTargets>();
  readonly #overflows: OverflowBudget;

  constructor(options: EmulatedHostOptions, targets: Iterable<EmulatedTarget>) {
    this.options = options;
    const { time, name, scenario } = options;
    this.#overflows = new OverflowBudget({
      clock: time,
      ownName: name,
      bound: shiftBoundOf(scenario),
    });
    for (const target of targets) {
      this.learn(target, 0);
    }
  }

  get name(): string {
    return this.options.name;
  }

  get region(): string {
    return this.options.region;
  }

  service(name: string): ServiceTargets {
    const known = this.#services.get(name);
    if (known !== undefined) {
      return known;
    }
    const {
      time,
      name: ownName,
      region,
      isEvacuated,
      disabledMechanisms: leftOut,
      scenario,
      hosts,
    } = this.options;
    const created = new ServiceTargets(name, {
      overflows: this.#overflows,
      clock: time,
      ownName,
      retryBudget: RETRY_BOUND,
      regionOf: (failureDomain) => failureDomain,
      ownRegion: region,
      isEvacuated,
      regionShiftLimit: shiftBoundOf(scenario),
      limits: NO_LIMITS,
      disabledMechanisms: leftOut,
    });
    created.retryBudget.slackShare = 1 / hosts.length;
    created.settings = {
      name,
      healthPath: '/health',
      mostConnections: Infinity,
      coldMilliseconds: scenario.services[name]?.coldMilliseconds ?? 0,
      coldRequestsPerSecond: scenario.services[name]?.coldRequestsPerSecond ?? Infinity,
    };
    this.#services.set(name, created);
    return created;
  }

  /** Hears of a target, or of its new start. */
  learn({ id, options }: EmulatedTarget, coldMilliseconds: number): void {
    this.service(options.service).put({
      id,
      service: options.service,
      address: '127.0.0.1:1',
      failureDomain: options.region,
      softwareVersion: '1',
      slots: options.slots,
      state: 'ready',
      coldMilliseconds,
    });
  }

  forget({ id, options }: EmulatedTarget): void {
    this.service(options.service).remove(id);
  }

  choose(service: string, request: Pick<SelectionRequest, 'route' | 'key' | 'tried'>) {
    const { name, hosts } = this.options;
    return this.service(service).select({
      ...request,
      lowestPriority: this.#leastUrgent,
      ownName: name,
      coldSenders: hosts,
    });
  }

  /** Adds what this host has to tell. */
  report(inFlight: Map<string, number>, asked: Map<string, number>): void {
    for (const { name, targets, requestRate: rate } of this.#services.values()) {
      const key = askedKey(name, this.region);
      asked.set(key, (asked.get(key) ?? 0) + rate.perSecond);
      for (const { id, inFlight: count } of targets.values()) {
        if (count > 0) {
          inFlight.set(id, (inFlight.get(id) ?? 0) + count);
        }
      }
    }
  }

  /** Takes what the whole fleet told, less this host's own part, as it is at that moment. */
  take({ inFlight, asked }: FleetReport): void {
    for (const service of this.#services.values()) {
      for (const target of service.targets.values()) {
        takeOthers(target, inFlight.get(target.id) ?? 0);
      }
      service.updatePlacement((region) => asked.get(askedKey(service.name, region)) ?? 0);
    }
  }

  get #leastUrgent(): number {
    const { classes } = this.options.scenario;
    return Math.max(0, ...Object.values(classes).map(({ priority }) => priority));
  }
}

function takeOthers(target: TargetState, ofFleet: number): void {
  const others = ofFleet - target.inFlight;
  if (others > 0) {
    target.peersInFlight.set(FLEET, others);
  } else {
    target.peersInFlight.delete(FLEET);
  }
}

/** The route that a class of requests takes. */
export function routeOf(name: string, scenario: Scenario): Route {
  const requestClass = scenario.classes[name];
  if (requestClass === undefined) {
    throw new Error(`no class ${name}`);
  }
  return {
    name,
    host: name,
    pathPrefix: '/',
    kind: requestClass.repeatable ? 'repeatable' : 'once',
    timeoutMilliseconds: requestClass.timeoutMilliseconds,
    targetLatencyMilliseconds: requestClass.objectiveMilliseconds,
    priority: requestClass.priority,
    shares: [{ service: requestClass.service, weight: 1 }],
    mostAttempts: 2,
    hasAffinity: true,
    homeRegions: [],
    admitsAnonymous: true,
  };
}

function shiftBoundOf({ deployment }: Scenario): RegionShiftLimit {
  return { share: deployment.mostShiftShare, windowMilliseconds: SHIFT_WINDOW_MILLISECONDS };
}
