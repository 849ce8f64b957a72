import { MovingAverage } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import { ColdStartLimiter } from './cold-start-limiter.js';
import { earliestAvailability } from './target-availability.js';
import type { TargetAvailability } from './target-availability.js';
import { RemovedTargetSignals } from './removed-target-signals.js';
import { RetryBudget } from './retry-budget.js';
import type { RetryBudgetSettings } from './retry-budget.js';
import { maxLoadPerSlot } from './max-load-per-slot.js';
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
import { ProcessingTimes } from './processing-times.js';

/** How long requests get a connection each after a target sent an answer to another request. */
const DISTRUST_MILLISECONDS = 10_000;
/** Weight of one answer in the average time of work: some two seconds of a host's requests. */
const RUN_WEIGHT = 0.02;
const MILLISECONDS_PER_SECOND = 1_000;

export interface ServiceTargetsOptions {
  readonly clock: Clock;
  readonly retryBudget: RetryBudgetSettings;
  /** Region of each failure domain. */
  readonly regionOf: (failureDomain: string) => string;
  readonly ownRegion: string;
  /** Whether a failure domain is being emptied. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  readonly regionShiftLimit: RegionShiftLimit;
  /** Of all services of this host together, as the bound on shifts counts them. */
  readonly overflows: OverflowBudget;
  /** Of all services of this host together. */
  readonly limits: Pick<TargetLimits, 'tryAcquire' | 'waitMilliseconds'>;
  readonly disabledMechanisms: DisabledMechanisms;
}

/** A request that looks for a target. */
export interface SelectionRequest {
  readonly route: Route;
  readonly key: string;
  /** Targets that were tried for it already. */
  readonly tried: ReadonlySet<string>;
  /** Largest priority number of all routes. */
  readonly lowestPriority: number;
  readonly ownName: string;
  /** Hosts that may send to a cold target; the same array while nothing changes. */
  readonly coldSenders: readonly string[];
}

/** An answer by a target that ran the request. */
export interface ObservedResponse {
  readonly route: Route;
  readonly key: string;
  /** From the send to the whole answer. */
  readonly milliseconds: number;
  /** The target's load before the send, for each of its slots. */
  readonly loadPerSlot: number;
}

/** What a record brought: a target, another start of one, or news of a known start. */
export type PutOutcome = 'added' | 'reborn' | 'updated';

/** One service's targets, how to choose among them, and what its requests may draw on. */
export class ServiceTargets {
  readonly targets = new Map<string, TargetState>();
  readonly selector: TargetSelector;
  readonly placement: RegionPlacement;
  readonly roundTripTimes = new RoundTripTimes();
  readonly retryBudget: RetryBudget;
  readonly coldStartLimiter: ColdStartLimiter;
  /** Requests of this host's callers. */
  readonly requestRate: RequestRate;
  /** Absent while no configuration names the service. */
  settings: RoutedService | undefined;
  readonly #options: ServiceTargetsOptions;
  readonly #run = new MovingAverage(RUN_WEIGHT);
  readonly #workOfRoute = new Map<string, ProcessingTimes>();
  readonly #formerWords = new RemovedTargetSignals();
  #distrustedUntil = -Infinity;

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
    this.retryBudget = new RetryBudget(options.clock, options.retryBudget);
    this.coldStartLimiter = new ColdStartLimiter(options.clock);
    this.requestRate = new RequestRate(options.clock);
  }

  /** Whether a record is of an earlier start than the known one, or was written earlier by the same. */
  isStale(record: TargetRecord): boolean {
    const known = this.targets.get(record.id)?.record;
    if (known === undefined || record.bornAt === undefined) {
      return false;
    }
    const start = compareIncarnations(record, known);
    return start === 'earlier' || (start === 'same' && isWrittenBefore(record, known));
  }

  /**
   * Takes a record on that is no old news. Nothing that is known of a start holds for the next one under the same id: neither that it
   * leaves, nor its load, its failures or the objects that it had.
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
    const word = this.#formerWords.restore(record);
    const added = new TargetState(record, this.#options.clock.now(), word);
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
    this.#formerWords.save(target, this.#options.clock.now());
    this.coldStartLimiter.forget(target.incarnationId);
    this.selector.remove(target);
  }

  /** The target to send a request to now, or undefined where none may take it. */
  select(request: SelectionRequest): TargetState | undefined {
    const { route, key, tried, lowestPriority: leastUrgent } = request;
    if (this.placement.isEmpty) {
      this.updatePlacement(() => undefined);
    }
    const work = this.#workOf(route);
    const demand = {
      key,
      homeRegions: route.homeRegions,
      tried,
      maxLoadPerSlot: maxLoadPerSlot({
        route,
        processingMilliseconds: this.#run.value,
        lowestPriority: leastUrgent,
      }),
      prefersOwnRegion: route.kind === 'upload',
      processingMilliseconds: work.hitMilliseconds,
      missPenaltyMilliseconds: work.missPenaltyMilliseconds,
      mayOverflow: this.#options.overflows.hasRoom,
    };
    const chosen = this.#chooseInLimits(demand, request);
    this.#countOverflow(demand, chosen);
    return chosen;
  }

  /**
   * Whatever a target is chosen for, it gets no request beyond this host's part of a limit that it names: it is left out
   * of this choice then, as if it rested. What it would have got is counted as asked of it.
   */
  #chooseInLimits(demand: SelectionCriteria, request: SelectionRequest): TargetState | undefined {
    const { limits } = this.#options;
    let { tried } = demand;
    let chosen = this.#chooseUnlimited(demand, request);
    while (chosen !== undefined && !limits.tryAcquire(chosen)) {
      tried = new Set([...tried, chosen.id]);
      chosen = this.#chooseUnlimited({ ...demand, tried }, request);
    }
    return chosen;
  }

  #chooseUnlimited(
    demand: SelectionCriteria,
    { ownName, coldSenders }: SelectionRequest,
  ): TargetState | undefined {
    return this.selector.select(demand, this.#options.clock.now(), (target) =>
      this.coldStartLimiter.tryAcquire({
        target: target.incarnationId,
        requestsPerSecond: this.settings?.coldRequestsPerSecond ?? Infinity,
        ownName,
        hosts: coldSenders,
      }),
    );
  }

  /** Counts requests that leave the region that they prefer. */
  #countOverflow(demand: PlacementCriteria, chosen: TargetState | undefined): void {
    const { regionOf, overflows } = this.#options;
    const region = chosen === undefined ? undefined : regionOf(chosen.record.failureDomain);
    overflows.recordRequest();
    if (region !== undefined && region !== this.selector.regionsFor(demand)[0]) {
      overflows.recordOverflow();
    }
  }

  /**
   * How long a target that is as full as it may be takes to work off what it has, in milliseconds: a
   * caller that comes back then finds room, if no more come than before. Undefined before the first
   * answer.
   */
  backlogMilliseconds(route: Route, leastUrgent: number): number | undefined {
    const runMilliseconds = this.#run.value;
    return runMilliseconds === undefined
      ? undefined
      : runMilliseconds *
          maxLoadPerSlot({
            route,
            processingMilliseconds: runMilliseconds,
            lowestPriority: leastUrgent,
          });
  }

  /** Where all targets that may take a request of this route rest, or have their limit used up: until when. */
  earliestAvailability({
    homeRegions,
  }: Pick<Route, 'homeRegions'>): TargetAvailability | undefined {
    const { clock, regionOf, isEvacuated, limits, disabledMechanisms: leftOut } = this.#options;
    const mayTake = ({ leaving, record: { failureDomain } }: TargetState): boolean =>
      !leaving &&
      !isEvacuated(failureDomain) &&
      (homeRegions.length === 0 || homeRegions.includes(regionOf(failureDomain)));
    return earliestAvailability(this.targets.values(), {
      now: clock.now(),
      mayTake,
      limits,
      disabledMechanisms: leftOut,
    });
  }

  /**
   * A try brought no usable answer.
   *
   * @returns for how long the target is now left alone, in milliseconds
   */
  recordFailure(target: TargetState): number {
    const { clock, disabledMechanisms: leftOut } = this.#options;
    return leftOut.has('ejection') ? 0 : target.recordFailure(clock.now());
  }

  /** Learns from an answer how long work takes, and that the target knows the object. */
  recordResponse(target: TargetState, answered: ObservedResponse): void {
    const { route, key, milliseconds, loadPerSlot } = answered;
    const now = this.#options.clock.now();
    const way = this.roundTripTimes.of(target.record.failureDomain);
    const worked = Math.max(1, milliseconds - way) / Math.max(1, loadPerSlot);
    this.#workOf(route).record(worked, target.hasCached(key, now));
    this.#run.add(worked);
    target.recordResponse(key, now);
  }

  /**
   * Decides anew which part of the keys stays in which region.
   *
   * @param requestsPerSecond - what a region's callers ask of this service; undefined where that is
   *   not known
   */
  updatePlacement(requestsPerSecond: (region: string) => number | undefined): void {
    this.placement.update(this.#rooms(requestsPerSecond), this.#options.clock.now());
  }

  /** Whether connections to its targets may carry bytes that belong to no request. */
  get isConnectionReuseDisabled(): boolean {
    return this.#options.clock.now() < this.#distrustedUntil;
  }

  /**
   * One of its targets answered a request that it was not asked.
   *
   * @returns whether its connections were trusted until now
   */
  disableConnectionReuse(): boolean {
    const wasTrusted = !this.isConnectionReuseDisabled;
    this.#distrustedUntil = this.#options.clock.now() + DISTRUST_MILLISECONDS;
    return wasTrusted;
  }

  #rooms(requestsPerSecond: (region: string) => number | undefined): RegionCapacity[] {
    const { regionOf, isEvacuated, disabledMechanisms: leftOut, clock } = this.#options;
    const now = clock.now();
    const slots = new Map<string, number>();
    for (const target of this.targets.values()) {
      const { failureDomain } = target.record;
      const isUsable = !target.leaving && !isEvacuated(failureDomain) && !target.isCold(now);
      const region = regionOf(failureDomain);
      slots.set(region, (slots.get(region) ?? 0) + (isUsable ? target.record.slots : 0));
    }
    const run = this.#run.value;
    return [...slots].map(([region, count]) => {
      const rate = leftOut.has('measured-demand') ? undefined : requestsPerSecond(region);
      const isKnown = rate !== undefined && run !== undefined;
      const work = isKnown ? (rate * run) / MILLISECONDS_PER_SECOND : undefined;
      return { region, slots: count, work };
    });
  }

  #workOf({ name }: Route): ProcessingTimes {
    const known = this.#workOfRoute.get(name) ?? new ProcessingTimes();
    this.#workOfRoute.set(name, known);
    return known;
  }
}

function isWrittenBefore(record: TargetRecord, other: TargetRecord): boolean {
  const { sequence } = record;
  return sequence !== undefined && other.sequence !== undefined && sequence < other.sequence;
}
