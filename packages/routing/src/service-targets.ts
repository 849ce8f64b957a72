import type { Clock } from '@ferrylock/utils';
import { ColdStartLimiter } from './cold-start-limiter.js';
import { earliestAvailability } from './target-availability.js';
import type { TargetAvailability } from './target-availability.js';
import { RemovedTargetSignals } from './removed-target-signals.js';
import { RetryBudget } from './retry-budget.js';
import type { RetryBudgetSettings } from './retry-budget.js';
import type { ServiceRoom } from './admission/service-room.js';
import type { TargetLimits } from './limits/target-limits.js';
import type { DisabledMechanisms } from './mechanisms.js';
import { RegionPlacement } from './region-placement.js';
import type { RegionCapacity } from './region-placement.js';
import { RequestRate } from './request-rate.js';
import { maxStepPerSecond } from './overflow-budget.js';
import type { OverflowBudget, RegionShiftLimit } from './overflow-budget.js';
import { RoundTripTimes } from './round-trip-times.js';
import type { Route, RoutedService } from './route-configuration.js';
import type { PlacementCriteria, SelectionCriteria } from './target-selector.js';
import { TargetSelector } from './target-selector.js';
import type { TargetRecord } from './target-record.js';
import { compareIncarnations } from './target-incarnation.js';
import { TargetState } from './target-state.js';
import { ServiceWorkTimes } from './service-work-times.js';

/** Time for which connections are not reused after a target responded to the wrong request. */
const REUSE_DISABLED_MILLISECONDS = 10_000;
/** Lifetime of a sum over all targets; shorter than the interval of reports. */
const ROOM_CACHE_MILLISECONDS = 50;
const MILLISECONDS_PER_SECOND = 1_000;

export interface ServiceTargetsOptions {
  readonly clock: Clock;
  /** Name of this host. */
  readonly ownName: string;
  readonly retryBudget: RetryBudgetSettings;
  /** Maps a failure domain to its region. */
  readonly regionOf: (failureDomain: string) => string;
  readonly ownRegion: string;
  /** Tells whether a failure domain is being evacuated. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** Tells whether requests to a target are expected to reach it; all are by default. */
  readonly isReachable?: ((target: TargetState) => boolean) | undefined;
  readonly regionShiftLimit: RegionShiftLimit;
  /** Overflow budget shared by all services of this host. */
  readonly overflows: OverflowBudget;
  /** Limits advertised by targets, shared by all services of this host. */
  readonly limits: Pick<TargetLimits, 'tryAcquire' | 'waitMilliseconds'>;
  readonly disabledMechanisms: DisabledMechanisms;
}

/** Request that needs a target. */
export interface SelectionRequest {
  readonly route: Route;
  readonly key: string;
  /** Targets already tried for this request. */
  readonly tried: ReadonlySet<string>;
  /** Largest priority number of all routes; larger numbers are less urgent. */
  readonly lowestPriority: number;
  readonly ownName: string;
  /** Hosts that may send to a cold target. The array is replaced when membership changes. */
  readonly coldSenders: readonly string[];
}

/** Response of a target that processed the request. */
export interface ObservedResponse {
  readonly route: Route;
  readonly key: string;
  /** Time from sending to the end of the response. */
  readonly milliseconds: number;
  /** Load per slot of the target before the request was sent. */
  readonly loadPerSlot: number;
}

/** Which of the targets that may serve a request a host reaches. */
export type TargetReach = 'all' | 'some' | 'none';

/** Result of a record: a new target, a new incarnation, or an update. */
export type PutOutcome = 'added' | 'reborn' | 'updated';

/** Targets of one service, with target selection and the budgets of its requests. */
export class ServiceTargets {
  readonly targets = new Map<string, TargetState>();
  readonly selector: TargetSelector;
  readonly placement: RegionPlacement;
  readonly roundTripTimes = new RoundTripTimes();
  readonly retryBudget: RetryBudget;
  readonly coldStartLimiter: ColdStartLimiter;
  /** Rate of requests from callers of this host. */
  readonly requestRate: RequestRate;
  /** Undefined while no configuration contains the service. */
  settings: RoutedService | undefined;
  readonly #options: ServiceTargetsOptions;
  readonly #workTimes = new ServiceWorkTimes();
  readonly #removedSignals = new RemovedTargetSignals();
  #reuseDisabledUntil = -Infinity;
  #room: { readonly at: number; readonly room: ServiceRoom } | undefined;

  constructor(
    readonly name: string,
    options: ServiceTargetsOptions,
  ) {
    this.#options = options;
    this.placement = new RegionPlacement({
      ...options,
      maxStepPerSecond: maxStepPerSecond(options.regionShiftLimit),
    });
    this.selector = new TargetSelector({
      ...options,
      placement: this.placement,
      roundTripMilliseconds: ({ record }) => this.roundTripTimes.of(record.failureDomain),
    });
    this.retryBudget = new RetryBudget({
      clock: options.clock,
      bound: options.retryBudget,
      name: `${options.ownName} ${name}`,
    });
    this.coldStartLimiter = new ColdStartLimiter(options.clock);
    this.requestRate = new RequestRate(options.clock);
  }

  /** Tells whether a record is of an earlier incarnation, or an earlier one of the same. */
  isStale(record: TargetRecord): boolean {
    const known = this.targets.get(record.id)?.record;
    if (known === undefined || record.bornAt === undefined) {
      return false;
    }
    const order = compareIncarnations(record, known);
    return order === 'earlier' || (order === 'same' && isWrittenBefore(record, known));
  }

  /**
   * Applies a record that is not stale. A new incarnation inherits nothing from the previous one.
   */
  put(record: TargetRecord): PutOutcome {
    const known = this.targets.get(record.id);
    if (known === undefined) {
      this.#add(record);
      return 'added';
    }
    if (compareIncarnations(record, known.record) === 'later') {
      this.remove(record.id);
      this.#add(record);
      return 'reborn';
    }
    known.update(record, this.#options.clock.now());
    return 'updated';
  }

  #add(record: TargetRecord): void {
    const signals = this.#removedSignals.restore(record);
    const added = new TargetState(record, this.#options.clock.now(), signals);
    this.targets.set(record.id, added);
    this.selector.add(added);
    this.placement.addRegion(this.#options.regionOf(record.failureDomain));
  }

  remove(id: string): void {
    const target = this.targets.get(id);
    if (target === undefined) {
      return;
    }
    this.targets.delete(id);
    this.#removedSignals.save(target, this.#options.clock.now());
    this.coldStartLimiter.forget(target.incarnationId);
    this.selector.remove(target);
  }

  /** Selects the target for a request; undefined if none is eligible. */
  select(request: SelectionRequest): TargetState | undefined {
    const { route, key, tried, lowestPriority } = request;
    if (this.placement.isEmpty) {
      this.updatePlacement(() => undefined);
    }
    const times = this.#workTimes.of(route);
    const criteria = {
      key,
      homeRegions: route.homeRegions,
      tried,
      maxLoadPerSlot: this.#workTimes.maxLoadPerSlot(route, lowestPriority),
      prefersOwnRegion: route.kind === 'upload',
      processingMilliseconds: times.hitMilliseconds,
      missPenaltyMilliseconds: times.missPenaltyMilliseconds,
      mayOverflow: this.#options.overflows.hasRoom,
    };
    const selected = this.#selectWithinLimits(criteria, request);
    this.#countOverflow(criteria, selected);
    return selected;
  }

  /**
   * Selects a target within the share that this host has of its advertised limit. A target without
   * capacity is excluded like a resting one; the request still counts as demand for it.
   */
  #selectWithinLimits(
    criteria: SelectionCriteria,
    request: SelectionRequest,
  ): TargetState | undefined {
    const { limits } = this.#options;
    let { tried } = criteria;
    let selected = this.#selectUnlimited(criteria, request);
    while (selected !== undefined && !limits.tryAcquire(selected)) {
      tried = new Set([...tried, selected.id]);
      selected = this.#selectUnlimited({ ...criteria, tried }, request);
    }
    return selected;
  }

  #selectUnlimited(
    criteria: SelectionCriteria,
    { ownName, coldSenders }: SelectionRequest,
  ): TargetState | undefined {
    return this.selector.select(criteria, this.#options.clock.now(), (target) =>
      this.coldStartLimiter.tryAcquire({
        target: target.incarnationId,
        requestsPerSecond: this.settings?.coldRequestsPerSecond ?? Infinity,
        ownName,
        hosts: coldSenders,
      }),
    );
  }

  /** Records whether a request left its preferred region. */
  #countOverflow(criteria: PlacementCriteria, selected: TargetState | undefined): void {
    const { regionOf, overflows } = this.#options;
    const region = selected === undefined ? undefined : regionOf(selected.record.failureDomain);
    overflows.recordRequest();
    if (region !== undefined && region !== this.selector.regionsFor(criteria)[0]) {
      overflows.recordOverflow();
    }
  }

  /**
   * Estimates how long a target at its maximum load takes to work off its backlog, in milliseconds.
   * Undefined before the first response.
   */
  backlogMilliseconds(route: Route, lowestPriority: number): number | undefined {
    return this.#workTimes.backlogMilliseconds(route, lowestPriority);
  }

  /** Tells when the first eligible target is available, if all rest or are at their limit. */
  earliestAvailability(route: Pick<Route, 'homeRegions'>): TargetAvailability | undefined {
    const { clock, limits, disabledMechanisms: disabled } = this.#options;
    return earliestAvailability(this.targets.values(), {
      now: clock.now(),
      isEligible: (target) => this.#isEligible(target, route),
      limits,
      disabledMechanisms: disabled,
    });
  }

  /** Room of the service over all its targets and regions. */
  get room(): ServiceRoom {
    const now = this.#options.clock.now();
    const cached = this.#room;
    if (cached !== undefined && now - cached.at < ROOM_CACHE_MILLISECONDS) {
      return cached.room;
    }
    let [slots, load] = [0, 0];
    for (const target of this.targets.values()) {
      if (this.selector.isHealthy(target, now)) {
        slots += target.record.slots;
        load += target.load(now, this.#options.disabledMechanisms);
      }
    }
    const room = { slots, load, work: this.placement.work };
    this.#room = { at: now, room };
    return room;
  }

  /** Tells how many of the targets that may serve a route this host reaches. */
  reachOf(route: Pick<Route, 'homeRegions'>): TargetReach {
    const { isReachable } = this.#options;
    let [reached, unreached] = [0, 0];
    for (const target of this.targets.values()) {
      if (this.#isEligible(target, route)) {
        const isReached = isReachable?.(target) !== false;
        reached += Number(isReached);
        unreached += Number(!isReached);
      }
    }
    if (unreached === 0) {
      return 'all';
    }
    return reached === 0 ? 'none' : 'some';
  }

  #isEligible(
    { leaving, record: { failureDomain } }: TargetState,
    { homeRegions }: Pick<Route, 'homeRegions'>,
  ): boolean {
    const { regionOf, isEvacuated } = this.#options;
    return (
      !leaving &&
      !isEvacuated(failureDomain) &&
      (homeRegions.length === 0 || homeRegions.includes(regionOf(failureDomain)))
    );
  }

  /**
   * Records an attempt without a usable response.
   *
   * @returns the ejection time in milliseconds
   */
  recordFailure(target: TargetState): number {
    const { clock, disabledMechanisms: disabled } = this.#options;
    return disabled.has('ejection') ? 0 : target.recordFailure(clock.now());
  }

  /** Updates processing times and cached objects from a response. */
  recordResponse(target: TargetState, response: ObservedResponse): void {
    const { route, key, milliseconds, loadPerSlot } = response;
    const now = this.#options.clock.now();
    const roundTrip = this.roundTripTimes.of(target.record.failureDomain);
    const processed = Math.max(1, milliseconds - roundTrip) / Math.max(1, loadPerSlot);
    this.#workTimes.record(route, processed, target.hasCached(key, now));
    target.recordResponse(key, now);
  }

  /**
   * Recomputes the share of keys that each region serves.
   *
   * @param requestsPerSecond - demand of a region for this service; undefined if unknown
   */
  updatePlacement(requestsPerSecond: (region: string) => number | undefined): void {
    this.placement.update(this.#capacities(requestsPerSecond), this.#options.clock.now());
  }

  /** Tells whether connections may hold bytes of another response and must not be reused. */
  get isConnectionReuseDisabled(): boolean {
    return this.#options.clock.now() < this.#reuseDisabledUntil;
  }

  /**
   * Disables connection reuse after a target responded to the wrong request.
   *
   * @returns whether connections were reused until now
   */
  disableConnectionReuse(): boolean {
    const wasReused = !this.isConnectionReuseDisabled;
    this.#reuseDisabledUntil = this.#options.clock.now() + REUSE_DISABLED_MILLISECONDS;
    return wasReused;
  }

  #capacities(requestsPerSecond: (region: string) => number | undefined): RegionCapacity[] {
    const { regionOf, isEvacuated, disabledMechanisms: disabled, clock } = this.#options;
    const now = clock.now();
    const slots = new Map<string, number>();
    for (const target of this.targets.values()) {
      const { failureDomain } = target.record;
      const isUsable = !target.leaving && !isEvacuated(failureDomain) && !target.isCold(now);
      const region = regionOf(failureDomain);
      slots.set(region, (slots.get(region) ?? 0) + (isUsable ? target.record.slots : 0));
    }
    const processing = this.#workTimes.milliseconds;
    return [...slots].map(([region, count]) => {
      const rate = disabled.has('measured-demand') ? undefined : requestsPerSecond(region);
      const isKnown = rate !== undefined && processing !== undefined;
      const work = isKnown ? (rate * processing) / MILLISECONDS_PER_SECOND : undefined;
      return { region, slots: count, work };
    });
  }
}

function isWrittenBefore(record: TargetRecord, other: TargetRecord): boolean {
  const { sequence } = record;
  return sequence !== undefined && other.sequence !== undefined && sequence < other.sequence;
}
