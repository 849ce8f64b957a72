import type { Clock, Random } from '@ferrylock/utils';
import type { AccountDemand } from '../admission/fair-parts.js';
import { AccountQuota } from './account-quota.js';
import type { PeerVisibility, UsageElsewhere, QuotaPolicy, QuotaRefusal } from './account-quota.js';
import type { ClientAccount } from './client-account.js';

/** Request counts by account or by incarnation of a target. */
export type CountsByName = Readonly<Record<string, number>>;

/** Usage of shared limits by one host, as reported to peers. */
export interface UsageByName {
  /** Requests admitted in the last window. */
  readonly used: CountsByName;
  /** Requests received per second. */
  readonly demand: CountsByName;
}

export interface AccountQuotasOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly bound: QuotaPolicy;
  /** Usage of an account at all other entry hosts, as known here. */
  readonly usageElsewhere: (account: string) => UsageElsewhere;
  readonly visibility: () => PeerVisibility;
}

/** Quotas of all accounts at this host. */
export class AccountQuotas {
  readonly #options: AccountQuotasOptions;
  readonly #quotas = new Map<string, AccountQuota>();
  /** Accounts with recent requests at this host; only these are reported. */
  readonly #active = new Set<string>();

  constructor(options: AccountQuotasOptions) {
    this.#options = options;
  }

  /** Applies the accounts of a configuration; usage is retained. */
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
   * Admits a request of an account.
   *
   * @returns undefined if admitted, or the refusal
   */
  acquire({ name, requestsPerSecond }: ClientAccount): QuotaRefusal | undefined {
    if (requestsPerSecond === 0) {
      return undefined;
    }
    const { usageElsewhere, visibility } = this.#options;
    this.#active.add(name);
    return this.#quotas.get(name)?.acquire(usageElsewhere(name), visibility());
  }

  /** Records how often an admitted request ran. */
  recordRuns({ name, requestsPerSecond }: ClientAccount, runs: number): void {
    if (requestsPerSecond > 0 && runs !== 1) {
      this.#quotas.get(name)?.charge(runs - 1);
    }
  }

  /** Demand of all accounts with a limit, as far as their limits let it run. */
  get demands(): AccountDemand[] {
    const { usageElsewhere } = this.#options;
    return [...this.#quotas].map(([name, quota]) => {
      const { account, demandPerSecond: own } = quota;
      const total = own + usageElsewhere(name).demandPerSecond;
      const allowed = Math.min(1, account.requestsPerSecond / Math.max(total, 1));
      return {
        name,
        weight: account.requestsPerSecond,
        priority: account.priority,
        requestsPerSecond: allowed * total,
        ownPerSecond: allowed * own,
      };
    });
  }

  /** Tells whether any account has a limit. */
  get hasLimits(): boolean {
    return this.#quotas.size > 0;
  }

  /** Limit of an account per window; undefined if it is unlimited. */
  limitOf(account: string): number | undefined {
    return this.#quotas.get(account)?.limit;
  }

  /** Usage of an account at this host in the current window. */
  usedBy(account: string): number | undefined {
    return this.#quotas.get(account)?.used;
  }

  /** Usage and demand at this host; accounts without any are omitted. */
  get usage(): UsageByName {
    const used: Record<string, number> = {};
    const demand: Record<string, number> = {};
    for (const name of this.#active) {
      const quota = this.#quotas.get(name);
      const usedInWindow = quota?.used ?? 0;
      const perSecond = quota?.demandPerSecond ?? 0;
      if (usedInWindow > 0) {
        used[name] = usedInWindow;
      }
      if (perSecond > 0) {
        demand[name] = perSecond;
      }
      if (usedInWindow <= 0 && perSecond === 0) {
        this.#active.delete(name);
      }
    }
    return { used, demand };
  }
}
