import type { Declaration, Drain, TargetDeclaration } from '@ferrylock/schema';
import type { DistanceMap } from '../lookup/distance-map.js';
import { effectiveSlots } from './effective-slots.js';
import { namedLimitKey, slotLimitKey } from './slot-allotment.js';
import { Target } from './target.js';

/** Share of a service's targets that may be ejected before the signal itself is doubted. */
const LARGEST_EJECTED_SHARE = 0.5;

/** The targets of one service. Observations outlive a change of configuration. */
export class TargetSet {
  #targets = new Map<string, Target>();
  #effectiveSlots = new Map<string, number>();
  #leavingAddresses: ReadonlySet<string> = new Set();

  constructor(
    readonly account: string,
    readonly service: string,
  ) {}

  all(): Target[] {
    return [...this.#targets.values()];
  }

  get(name: string): Target | undefined {
    return this.#targets.get(name);
  }

  /** Slots of the target that may be filled, headroom taken off. */
  slotsOf(name: string): number {
    return this.#effectiveSlots.get(name) ?? 0;
  }

  /** Takes up which hosts the platform lists as leaving. */
  setLeavingAddresses(addresses: ReadonlySet<string>): void {
    this.#leavingAddresses = addresses;
  }

  /** Takes up a new declaration. A target that joins later than this daemon starts cold. */
  update(
    declaration: Declaration,
    drains: readonly Drain[],
    distances: DistanceMap,
    now: number,
  ): void {
    const isFirst = this.#targets.size === 0;
    const declared = declaration.services[this.service]?.targets ?? {};
    const next = new Map<string, Target>();
    for (const [name, target] of Object.entries(declared)) {
      const known = this.#targets.get(name);
      const isSame = JSON.stringify(known?.declaration) === JSON.stringify(target);
      const kept = isSame ? known : undefined;
      const current = kept ?? this.#makeTarget(name, target, distances);
      if (kept === undefined && isFirst) {
        current.assumeWarm();
      }
      this.#applyDrains(current, drains, now);
      next.set(name, current);
    }
    this.#targets = next;
    this.#effectiveSlots = effectiveSlots(declaration, this.service);
  }

  /**
   * Targets that may be given new work. When more than half of those not drained seem sick, the fault
   * is more likely in what this daemon sees than in all of them, and none is left out; but for one that asked for rest, or
   * named a limit that is used up, which say so themselves.
   */
  open(now: number): Target[] {
    const inUse = this.all().filter(
      (target) => this.#isInUse(target) && !target.isResting(now) && !target.isAtLimit,
    );
    const ejected = inUse.filter((target) => target.isEjected(now));
    if (ejected.length > inUse.length * LARGEST_EJECTED_SHARE) {
      return inUse;
    }
    return inUse.filter((target) => target.isOpen(now));
  }

  /**
   * How long until the first of those wants work that rest, or have their limit used up, in milliseconds; undefined where none in
   * use does.
   */
  waitMilliseconds(now: number): number | undefined {
    const waits = this.all()
      .filter((target) => this.#isInUse(target) && (target.isResting(now) || target.isAtLimit))
      .map(({ word, limit }) => Math.max(word.restsUntil - now, limit?.waitMilliseconds(1) ?? 0));
    return waits.length === 0 ? undefined : Math.min(...waits);
  }

  /** A request looks for a target: parts of named limits go where they are asked for. */
  recordDemand(): void {
    for (const { limit } of this.#targets.values()) {
      limit?.recordDemand(1);
    }
  }

  #makeTarget(name: string, declaration: TargetDeclaration, distances: DistanceMap): Target {
    const limitKey = slotLimitKey(this.account, this.service, name);
    const namedKey = namedLimitKey(this.account, this.service, name);
    return new Target(
      name,
      limitKey,
      namedKey,
      declaration,
      distances.placeOf(declaration.failureDomain),
    );
  }

  #isInUse(target: Target): boolean {
    const hostLeaves = this.#leavingAddresses.has(target.declaration.address);
    return !target.drained && !target.leaving && !hostLeaves;
  }

  #applyDrains(target: Target, drains: readonly Drain[], now: number): void {
    const drained = drains.some((drain) => drainCovers(drain, this.service, target));
    if (target.drained && !drained) {
      target.startCold(now);
    }
    target.drained = drained;
  }
}

function drainCovers(drain: Drain, service: string, target: Target): boolean {
  switch (drain.scope) {
    case 'target':
      return drain.service === service && drain.name === target.name;
    case 'failureDomain':
      return drain.name === target.place.failureDomain;
    case 'host':
      return drain.name === target.declaration.address;
  }
}
