import { rendezvousRank } from '@ferrylock/utils';
import type { Clock, Random } from '@ferrylock/utils';
import type { OthersUsage } from '../accounts/account-quota.js';
import type { UsageByName } from '../accounts/account-quotas.js';
import type { LeftOut } from '../mechanisms.js';
import type { TargetState } from '../target-state.js';
import { LimitPart } from './limit-part.js';
import type { LimitSight } from './limit-part.js';

/** What is known of the fleet that a limit is shared in. */
export interface LimitFleet {
  /** Names of all hosts, this one included; the same array while nothing changes. */
  readonly hosts: readonly string[];
  readonly ownName: string;
  /** Part of them, this one included, that is heard. */
  readonly heardShare: number;
}

export interface TargetLimitsOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** What all other hosts told of a start of a target. */
  readonly others: (start: string) => OthersUsage;
  readonly fleet: () => LimitFleet;
  readonly leftOut: LeftOut;
}

/** Where no target names a limit. */
export const NO_LIMITS: Pick<TargetLimits, 'take' | 'giveBack' | 'waitMilliseconds'> = {
  take: () => true,
  giveBack: () => undefined,
  waitMilliseconds: () => 0,
};

/** How much of a target's limit this host has and uses. */
export interface LimitFigures {
  /** Requests a second that it takes to be its part. */
  readonly partPerSecond: number;
  /** Requests that it sent in the last window. */
  readonly used: number;
  /** The same of all other hosts, as told. */
  readonly usedElsewhere: number;
}

/** This host's part of a start's limit, with its place among all hosts for it. */
interface KnownPart {
  readonly part: LimitPart;
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
  take(target: TargetState): boolean {
    const known = this.#partOf(target);
    return known === undefined || known.part.take(this.#sightOf(target.start, known));
  }

  /** A request that was let be sent was not. */
  giveBack(target: TargetState): void {
    this.#parts.get(target.start)?.part.giveBack();
  }

  /** Until a target takes a request of this host, in milliseconds; 0 where it names no limit. */
  waitMilliseconds(target: TargetState): number {
    const known = this.#partOf(target);
    return known?.part.waitMilliseconds(this.#sightOf(target.start, known)) ?? 0;
  }

  /** Undefined where the target names no limit. */
  figuresOf(target: TargetState): LimitFigures | undefined {
    const known = this.#partOf(target);
    if (known === undefined) {
      return undefined;
    }
    const sight = this.#sightOf(target.start, known);
    return {
      partPerSecond: known.part.ratePerSecond(sight),
      used: known.part.used,
      usedElsewhere: sight.others.used,
    };
  }

  /** What is told to other hosts now, by starts of targets; those without any use are left out. */
  tell(): UsageByName {
    const used: Record<string, number> = {};
    const asked: Record<string, number> = {};
    for (const [start, known] of this.#parts) {
      const told = known.part.tell(this.#sightOf(start, known));
      if (told.used > 0 || told.askedPerSecond > 0) {
        used[start] = told.used;
        asked[start] = told.askedPerSecond;
      } else {
        this.#parts.delete(start);
      }
    }
    return { used, asked };
  }

  #partOf({ start, word }: TargetState): KnownPart | undefined {
    const { perSecond } = word.limit;
    if (perSecond === undefined) {
      if (this.#parts.size > 0) {
        this.#parts.delete(start);
      }
      return undefined;
    }
    const { clock, random, leftOut } = this.#options;
    if (leftOut.has('limit')) {
      return undefined;
    }
    const known = this.#parts.get(start) ?? {
      part: new LimitPart(clock, random, perSecond),
      place: 0,
      placedAmong: undefined,
    };
    known.part.perSecond = perSecond;
    this.#parts.set(start, known);
    return known;
  }

  #sightOf(start: string, known: KnownPart): LimitSight {
    const { others, fleet } = this.#options;
    const { hosts, ownName, heardShare } = fleet();
    const place = (): number => {
      if (known.placedAmong !== hosts) {
        known.placedAmong = hosts;
        known.place = rendezvousRank(start, hosts, (name) => name).indexOf(ownName);
      }
      return known.place;
    };
    return { others: others(start), heardShare, hosts: hosts.length, place };
  }
}
