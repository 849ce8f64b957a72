import { rendezvousRank } from '@ferrylock/utils';
import type { Clock, Random } from '@ferrylock/utils';
import type { UsageElsewhere } from '../accounts/account-quota.js';
import type { UsageByName } from '../accounts/account-quotas.js';
import type { DisabledMechanisms } from '../mechanisms.js';
import type { TargetState } from '../target-state.js';
import { LimitShare } from './limit-share.js';
import type { LimitView } from './limit-share.js';

/** What is known of the fleet that a limit is shared in. */
export interface LimitFleet {
  /** Names of all hosts, this one included; the same array while nothing changes. */
  readonly hosts: readonly string[];
  readonly ownName: string;
  /** Part of them, this one included, that is heard. */
  readonly visibleHostShare: number;
}

export interface TargetLimitsOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** What all other hosts told of a start of a target. */
  readonly usageElsewhere: (start: string) => UsageElsewhere;
  readonly fleet: () => LimitFleet;
  readonly disabledMechanisms: DisabledMechanisms;
}

/** Where no target names a limit. */
export const NO_LIMITS: Pick<TargetLimits, 'tryAcquire' | 'release' | 'waitMilliseconds'> = {
  tryAcquire: () => true,
  release: () => undefined,
  waitMilliseconds: () => 0,
};

/** How much of a target's limit this host has and uses. */
export interface LimitUsage {
  /** Requests a second that it takes to be its part. */
  readonly partPerSecond: number;
  /** Requests that it sent in the last window. */
  readonly used: number;
  /** The same of all other hosts, as told. */
  readonly usedElsewhere: number;
}

/** This host's part of a start's limit, with its place among all hosts for it. */
interface KnownPart {
  readonly part: LimitShare;
  place: number;
  placedAmong: readonly string[] | undefined;
}

/**
 * Keeps targets to the limits that they name. Every send leads through here, whatever it was chosen for; one to a target that
 * names no limit costs a look at its word.
 */
export class TargetLimits {
  readonly #options: TargetLimitsOptions;
  readonly #parts = new Map<string, KnownPart>();

  constructor(options: TargetLimitsOptions) {
    this.#options = options;
  }

  /** Lets a request be sent to a target, or does not. */
  tryAcquire(target: TargetState): boolean {
    const known = this.#partOf(target);
    return known === undefined || known.part.tryAcquire(this.#sightOf(target.incarnationId, known));
  }

  /** A request that was let be sent was not. */
  release(target: TargetState): void {
    this.#parts.get(target.incarnationId)?.part.release();
  }

  /** Until a target takes a request of this host, in milliseconds; 0 where it names no limit. */
  waitMilliseconds(target: TargetState): number {
    const known = this.#partOf(target);
    return known?.part.waitMilliseconds(this.#sightOf(target.incarnationId, known)) ?? 0;
  }

  /** Undefined where the target names no limit. */
  usageOf(target: TargetState): LimitUsage | undefined {
    const known = this.#partOf(target);
    if (known === undefined) {
      return undefined;
    }
    const sight = this.#sightOf(target.incarnationId, known);
    return {
      partPerSecond: known.part.ratePerSecond(sight),
      used: known.part.used,
      usedElsewhere: sight.usageElsewhere.used,
    };
  }

  /** What is told to other hosts now, by starts of targets; those without any use are left out. */
  report(): UsageByName {
    const used: Record<string, number> = {};
    const asked: Record<string, number> = {};
    for (const [start, known] of this.#parts) {
      const told = known.part.report(this.#sightOf(start, known));
      if (told.used > 0 || told.demandPerSecond > 0) {
        used[start] = told.used;
        asked[start] = told.demandPerSecond;
      } else {
        this.#parts.delete(start);
      }
    }
    return { used, demand: asked };
  }

  #partOf({ incarnationId: start, signals: word }: TargetState): KnownPart | undefined {
    const { perSecond } = word.limit;
    if (perSecond === undefined) {
      if (this.#parts.size > 0) {
        this.#parts.delete(start);
      }
      return undefined;
    }
    const { clock, random, disabledMechanisms: leftOut } = this.#options;
    if (leftOut.has('limit')) {
      return undefined;
    }
    const known = this.#parts.get(start) ?? {
      part: new LimitShare(clock, random, perSecond),
      place: 0,
      placedAmong: undefined,
    };
    known.part.perSecond = perSecond;
    this.#parts.set(start, known);
    return known;
  }

  #sightOf(start: string, known: KnownPart): LimitView {
    const { usageElsewhere: others, fleet } = this.#options;
    const { hosts, ownName, visibleHostShare: heardShare } = fleet();
    const place = (): number => {
      if (known.placedAmong !== hosts) {
        known.placedAmong = hosts;
        known.place = rendezvousRank(start, hosts, (name) => name).indexOf(ownName);
      }
      return known.place;
    };
    return {
      usageElsewhere: others(start),
      visibleHostShare: heardShare,
      hosts: hosts.length,
      place,
    };
  }
}
