import { rendezvousRank } from '@ferrylock/utils';
import type { Clock, Random } from '@ferrylock/utils';
import type { UsageElsewhere } from '../accounts/account-quota.js';
import type { UsageByName } from '../accounts/account-quotas.js';
import type { DisabledMechanisms } from '../mechanisms.js';
import type { TargetState } from '../target-state.js';
import { LimitShare } from './limit-share.js';
import type { LimitView } from './limit-share.js';

/** Hosts that share a limit. */
export interface LimitFleet {
  /** Names of all hosts, including this one. The array is replaced when membership changes. */
  readonly hosts: readonly string[];
  readonly ownName: string;
  /** Fraction of them, including this one, whose reports arrive. */
  readonly visibleHostShare: number;
}

export interface TargetLimitsOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Usage of an incarnation by all other hosts, as reported. */
  readonly usageElsewhere: (incarnationId: string) => UsageElsewhere;
  readonly fleet: () => LimitFleet;
  readonly disabledMechanisms: DisabledMechanisms;
}

/** Limits for services whose targets advertise none. */
export const NO_LIMITS: Pick<TargetLimits, 'tryAcquire' | 'release' | 'waitMilliseconds'> = {
  tryAcquire: () => true,
  release: () => undefined,
  waitMilliseconds: () => 0,
};

/** Usage of the limit of a target, and the share of this host. */
export interface LimitUsage {
  /** Requests per second of the share of this host. */
  readonly partPerSecond: number;
  /** Requests sent by this host in the last window. */
  readonly used: number;
  /** Requests sent by all other hosts, as reported. */
  readonly usedElsewhere: number;
}

/** Share of this host in the limit of an incarnation, with its cached rank among the hosts. */
interface ShareEntry {
  readonly share: LimitShare;
  rank: number;
  rankedHosts: readonly string[] | undefined;
}

/** Enforces the limits that targets advertise. Every request passes through here. */
export class TargetLimits {
  readonly #options: TargetLimitsOptions;
  readonly #shares = new Map<string, ShareEntry>();

  constructor(options: TargetLimitsOptions) {
    this.#options = options;
  }

  /** Admits a request to a target if its limit allows it. */
  tryAcquire(target: TargetState): boolean {
    const entry = this.#entryOf(target);
    return entry === undefined || entry.share.tryAcquire(this.#viewOf(target.incarnationId, entry));
  }

  /** Undoes the admission of a request that was not sent. */
  release(target: TargetState): void {
    this.#shares.get(target.incarnationId)?.share.release();
  }

  /**
   * Wait until a target accepts a request of this host, in milliseconds; 0 if it advertises no
   * limit.
   */
  waitMilliseconds(target: TargetState): number {
    const entry = this.#entryOf(target);
    return entry?.share.waitMilliseconds(this.#viewOf(target.incarnationId, entry)) ?? 0;
  }

  /** Usage of the limit of a target; undefined if it advertises none. */
  usageOf(target: TargetState): LimitUsage | undefined {
    const entry = this.#entryOf(target);
    if (entry === undefined) {
      return undefined;
    }
    const view = this.#viewOf(target.incarnationId, entry);
    return {
      partPerSecond: entry.share.ratePerSecond(view),
      used: entry.share.used,
      usedElsewhere: view.usageElsewhere.used,
    };
  }

  /** Returns the usage to report to peers, by incarnation; unused entries are dropped. */
  report(): UsageByName {
    const used: Record<string, number> = {};
    const demand: Record<string, number> = {};
    for (const [incarnationId, entry] of this.#shares) {
      const usage = entry.share.report(this.#viewOf(incarnationId, entry));
      if (usage.used > 0 || usage.demandPerSecond > 0) {
        used[incarnationId] = usage.used;
        demand[incarnationId] = usage.demandPerSecond;
      } else {
        this.#shares.delete(incarnationId);
      }
    }
    return { used, demand };
  }

  #entryOf({ incarnationId, signals }: TargetState): ShareEntry | undefined {
    const { perSecond } = signals.limit;
    if (perSecond === undefined) {
      if (this.#shares.size > 0) {
        this.#shares.delete(incarnationId);
      }
      return undefined;
    }
    const { clock, random, disabledMechanisms: disabled } = this.#options;
    if (disabled.has('limit')) {
      return undefined;
    }
    const entry = this.#shares.get(incarnationId) ?? {
      share: new LimitShare(clock, random, perSecond),
      rank: 0,
      rankedHosts: undefined,
    };
    entry.share.perSecond = perSecond;
    this.#shares.set(incarnationId, entry);
    return entry;
  }

  #viewOf(incarnationId: string, entry: ShareEntry): LimitView {
    const { usageElsewhere, fleet } = this.#options;
    const { hosts, ownName, visibleHostShare } = fleet();
    const rank = (): number => {
      if (entry.rankedHosts !== hosts) {
        entry.rankedHosts = hosts;
        entry.rank = rendezvousRank(incarnationId, hosts, (name) => name).indexOf(ownName);
      }
      return entry.rank;
    };
    return {
      usageElsewhere: usageElsewhere(incarnationId),
      visibleHostShare,
      hosts: hosts.length,
      place: rank,
    };
  }
}
