import type { Clock, Random } from '@ferrylock/utils';
import { AccountQuota } from './account-quota.js';
import type { PeerVisibility, UsageElsewhere, QuotaPolicy, QuotaRefusal } from './account-quota.js';
import type { ClientAccount } from './client-account.js';

/** Requests by what they count for: an account, or a start of a target. */
export type CountsByName = Readonly<Record<string, number>>;

/** One host's use of limits that all hosts share, as it tells others. */
export interface UsageByName {
  /** Requests that it let run in the last window. */
  readonly used: CountsByName;
  /** Requests a second that came to it. */
  readonly demand: CountsByName;
}

export interface AccountQuotasOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly bound: QuotaPolicy;
  /** What is known here of an account at all other entry hosts. */
  readonly usageElsewhere: (account: string) => UsageElsewhere;
  readonly visibility: () => PeerVisibility;
}

/** What each account uses of its limit at this host. */
export class AccountQuotas {
  readonly #options: AccountQuotasOptions;
  readonly #quotas = new Map<string, AccountQuota>();
  /** Accounts of which this host had requests lately: the others cost nothing to tell. */
  readonly #active = new Set<string>();

  constructor(options: AccountQuotasOptions) {
    this.#options = options;
  }

  /** Takes over the accounts of a configuration; what one has used stays. */
  setAccounts(accounts: readonly ClientAccount[]): void {
    const { clock, random, bound } = this.#options;
    const names = new Set(accounts.map(({ name }) => name));
    for (const name of this.#quotas.keys()) {
      if (!names.has(name)) {
        this.#quotas.delete(name);
      }
    }
    const limited = accounts.filter(({ requestsPerSecond }) => requestsPerSecond > 0);
    for (const account of limited) {
      const known = this.#quotas.get(account.name);
      if (known === undefined) {
        this.#quotas.set(account.name, new AccountQuota(account, clock, random, bound));
      } else {
        known.account = account;
      }
    }
  }

  /**
   * Lets a request of an account run, or tells why not.
   *
   * @returns undefined where it may run
   */
  acquire({ name, requestsPerSecond }: ClientAccount): QuotaRefusal | undefined {
    if (requestsPerSecond === 0) {
      return undefined;
    }
    const { usageElsewhere: others, visibility: fleet } = this.#options;
    this.#active.add(name);
    return this.#quotas.get(name)?.acquire(others(name), fleet());
  }

  /** Counts in how often a request that was let run came to run. */
  recordRuns({ name, requestsPerSecond }: ClientAccount, runs: number): void {
    if (requestsPerSecond > 0 && runs !== 1) {
      this.#quotas.get(name)?.charge(runs - 1);
    }
  }

  /** Whether any account has a limit. */
  get hasLimits(): boolean {
    return this.#quotas.size > 0;
  }

  /** What an account may use in a window; undefined where nothing bounds it. */
  limitOf(account: string): number | undefined {
    return this.#quotas.get(account)?.limit;
  }

  /** What an account used of it at this host. */
  usedBy(account: string): number | undefined {
    return this.#quotas.get(account)?.used;
  }

  /** What this host has used and is asked for; accounts without any are left out. */
  get usage(): UsageByName {
    const used: Record<string, number> = {};
    const asked: Record<string, number> = {};
    for (const name of this.#active) {
      const quota = this.#quotas.get(name);
      const ofWindow = quota?.used ?? 0;
      const ofSecond = quota?.demandPerSecond ?? 0;
      if (ofWindow > 0) {
        used[name] = ofWindow;
      }
      if (ofSecond > 0) {
        asked[name] = ofSecond;
      }
      if (ofWindow <= 0 && ofSecond === 0) {
        this.#active.delete(name);
      }
    }
    return { used, demand: asked };
  }
}
