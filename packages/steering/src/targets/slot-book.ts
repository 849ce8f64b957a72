import type { Clock, Random } from '@ferrylock/utils';
import { randomIndex } from '@ferrylock/utils';
import type { DistanceMap, Place } from '../lookup/distance-map.js';
import type { SlotAllotment } from './slot-allotment.js';
import type { Target } from './target.js';
import type { TargetSet } from './target-set.js';

/** Latency assumed of a target that has not answered yet, in milliseconds. */
const UNKNOWN_LATENCY_MILLISECONDS = 1;

export interface SlotBookOptions {
  readonly targets: TargetSet;
  readonly allotment: SlotAllotment;
  readonly entryPlace: Place;
  readonly clock: Clock;
  readonly random: Random;
}

/** A target with as many slots as may be used of it now. */
interface Candidate {
  readonly target: Target;
  readonly free: number;
}

/** Which targets have a slot free for this daemon, and which of them is the best to take. */
export class SlotBook {
  readonly #options: SlotBookOptions;
  #distances: DistanceMap;

  constructor(options: SlotBookOptions, distances: DistanceMap) {
    this.#options = options;
    this.#distances = distances;
  }

  setDistances(distances: DistanceMap): void {
    this.#distances = distances;
  }

  /**
   * Takes a slot of the best open target for work that ends by the deadline.
   *
   * @param accept - leaves targets out, as one that has just failed or whose link has no room
   */
  take(deadlineAt: number, accept: (target: Target) => boolean): Target | undefined {
    const now = this.#options.clock.now();
    this.#options.targets.recordDemand();
    const candidates: Candidate[] = [];
    for (const target of this.#options.targets.open(now)) {
      const free = this.#freeSlots(target, deadlineAt);
      if (free > 0 && accept(target)) {
        candidates.push({ target, free });
      }
    }
    const chosen = this.#chooseNearest(candidates);
    if (chosen !== undefined) {
      chosen.limit?.take(1);
      chosen.inFlight++;
      chosen.lastUsedAt = now;
    }
    return chosen;
  }

  release(target: Target): void {
    target.inFlight--;
  }

  /** Slots that this daemon may use now, in use or not. */
  usableSlots(): number {
    const now = this.#options.clock.now();
    return this.#options.targets
      .open(now)
      .reduce((sum, target) => sum + this.#usable(target, now), 0);
  }

  /**
   * Own slots that are neither in use nor lent, those of far targets first. Borrowed slots bear work
   * only if their loans last until the given clock reading, by which all work begun now has ended.
   */
  spareSlots(until: number): { target: string; units: number }[] {
    const now = this.#options.clock.now();
    const spare = this.#options.targets.open(now).map((target) => {
      const owned = this.#options.allotment.lendable(target.limitKey);
      const unused = this.#usable(target, until) - target.inFlight;
      return {
        target: target.name,
        units: Math.max(0, Math.min(owned, unused)),
        delay: this.#delayTo(target),
      };
    });
    return spare
      .filter((entry) => entry.units > 0)
      .sort((a, b) => b.delay - a.delay)
      .map(({ target, units }) => ({ target, units }));
  }

  /** Slots of a target that may be used here and are not. */
  unusedSlots(target: Target): number {
    return Math.max(0, this.#usable(target, -Infinity) - target.inFlight);
  }

  #freeSlots(target: Target, until: number): number {
    const usable = this.#usable(target, until);
    return target.warmSlots(usable) - target.inFlight;
  }

  #usable(target: Target, until: number): number {
    return this.#options.allotment.usable(target.limitKey, until);
  }

  /** Of the nearest targets two at random, and the one that answers sooner of these. */
  #chooseNearest(candidates: readonly Candidate[]): Target | undefined {
    const nearest = this.#nearest(candidates);
    const first = nearest[randomIndex(this.#options.random, nearest.length)];
    const second = nearest[randomIndex(this.#options.random, nearest.length)];
    if (first === undefined || second === undefined) {
      return undefined;
    }
    return expectedLatency(second) < expectedLatency(first) ? second.target : first.target;
  }

  #nearest(candidates: readonly Candidate[]): Candidate[] {
    let best = Infinity;
    let nearest: Candidate[] = [];
    for (const candidate of candidates) {
      const delay = this.#delayTo(candidate.target);
      if (delay < best) {
        best = delay;
        nearest = [];
      }
      if (delay === best) {
        nearest.push(candidate);
      }
    }
    return nearest;
  }

  #delayTo(target: Target): number {
    return this.#distances.milliseconds(this.#options.entryPlace, target.place);
  }
}

/** Latency seen so far, raised by the load that the target itself reports. */
function expectedLatency({ target }: Candidate): number {
  const seen = target.latency.value ?? UNKNOWN_LATENCY_MILLISECONDS;
  return seen * (1 + (target.reportedLoad ?? 0));
}
