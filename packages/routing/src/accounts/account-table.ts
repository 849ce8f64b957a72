import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Route } from '../route-configuration.js';
import type { ClientAccount, UnusableAccount } from './client-account.js';

/** Reason why a caller is not admitted to a route. */
export type AdmissionFailure = 'unknown-key' | 'unusable-account' | 'no-common-region';

/** Route as it applies to the callers of one account; anonymous callers have none. */
export interface AdmittedRoute {
  readonly route: Route;
  readonly account: ClientAccount | undefined;
}

/**
 * Client accounts of one configuration version: maps keys to accounts and derives the effective
 * route of each account. A request costs two lookups.
 */
export class AccountTable {
  /** Largest effective priority number of any request; larger numbers are less urgent. */
  readonly lowestPriority: number;
  readonly #accountByKey = new Map<string, ClientAccount>();
  readonly #routes = new Map<ClientAccount, Map<Route, Result<AdmittedRoute, AdmissionFailure>>>();
  readonly #lowestRoutePriority: number;
  readonly #highestAccountPriority: number;
  readonly #unusableKeys: ReadonlySet<string>;
  /** Whether an unknown key may be that of an unusable account. */
  readonly #hasUnreadableKeys: boolean;

  /**
   * @param lowestRoutePriority - largest priority number of all routes
   * @param unusable - accounts that cannot be used
   */
  constructor(
    readonly accounts: readonly ClientAccount[],
    lowestRoutePriority: number,
    unusable: readonly UnusableAccount[] = [],
  ) {
    this.#unusableKeys = new Set(unusable.flatMap(({ keys }) => keys ?? []));
    this.#hasUnreadableKeys = unusable.some(({ keys }) => keys === undefined);
    const priorities = accounts.map(({ priority }) => priority);
    this.#lowestRoutePriority = lowestRoutePriority;
    this.#highestAccountPriority = Math.min(...priorities);
    this.lowestPriority =
      accounts.length === 0
        ? lowestRoutePriority
        : this.#combinePriorities(Math.max(...priorities), lowestRoutePriority);
    for (const account of accounts) {
      this.#routes.set(account, new Map());
      for (const key of account.keys) {
        this.#accountByKey.set(key, account);
      }
    }
  }

  /**
   * Admits a caller to a route.
   *
   * @param key - key presented by the caller; undefined if there is none
   */
  admit(route: Route, key: string | undefined): Result<AdmittedRoute, AdmissionFailure> {
    if (key !== undefined && this.#unusableKeys.has(key)) {
      return Err('unusable-account');
    }
    const account = key === undefined ? undefined : this.#accountByKey.get(key);
    if (account !== undefined) {
      return this.#routeOf(account, route);
    }
    if (key !== undefined && this.#hasUnreadableKeys) {
      return Err('unusable-account');
    }
    return route.admitsAnonymous ? Ok({ route, account }) : Err('unknown-key');
  }

  #routeOf(account: ClientAccount, route: Route): Result<AdmittedRoute, AdmissionFailure> {
    const known = this.#routes.get(account)?.get(route);
    if (known !== undefined) {
      return known;
    }
    const admitted = this.#deriveRoute(account, route);
    this.#routes.get(account)?.set(route, admitted);
    return admitted;
  }

  #deriveRoute(account: ClientAccount, route: Route): Result<AdmittedRoute, AdmissionFailure> {
    const homeRegions = commonRegions(route.homeRegions, account.homeRegions);
    if (homeRegions === undefined) {
      return Err('no-common-region');
    }
    const priority = this.#combinePriorities(account.priority, route.priority);
    return Ok({ route: { ...route, homeRegions, priority }, account });
  }

  /** Combines priorities: the account decides, then the route. */
  #combinePriorities(byAccount: number, byRoute: number): number {
    return (byAccount - this.#highestAccountPriority) * (this.#lowestRoutePriority + 1) + byRoute;
  }
}

/** Intersects home regions, where empty means any; undefined if none is common. */
function commonRegions(a: readonly string[], b: readonly string[]): string[] | undefined {
  if (a.length === 0 || b.length === 0) {
    return [...a, ...b];
  }
  const common = a.filter((region) => b.includes(region));
  return common.length === 0 ? undefined : common;
}
