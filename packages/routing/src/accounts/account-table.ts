import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Route } from '../route-configuration.js';
import type { ClientAccount } from './client-account.js';

/** Why a caller may not use a route. */
export type AdmissionFailure = 'unknown-key' | 'no-common-region';

/** A route as it binds one account's callers; anonymous callers have no account. */
export interface AdmittedRoute {
  readonly route: Route;
  readonly account: ClientAccount | undefined;
}

/**
 * The client accounts of one configuration: who a key belongs to, and what a route is for that
 * account. Made once for each version; a request costs two look-ups.
 */
export class AccountTable {
  /** Largest rank number of any account's request. */
  readonly lowestPriority: number;
  readonly #accountOfKey = new Map<string, ClientAccount>();
  readonly #routes = new Map<ClientAccount, Map<Route, Result<AdmittedRoute, AdmissionFailure>>>();
  readonly #leastUrgentRoute: number;
  readonly #mostUrgentAccount: number;

  /** @param leastUrgentRoute - largest priority number of all routes */
  constructor(
    readonly accounts: readonly ClientAccount[],
    leastUrgentRoute: number,
  ) {
    const priorities = accounts.map(({ priority }) => priority);
    this.#leastUrgentRoute = leastUrgentRoute;
    this.#mostUrgentAccount = Math.min(...priorities);
    this.lowestPriority =
      accounts.length === 0
        ? leastUrgentRoute
        : this.#rank(Math.max(...priorities), leastUrgentRoute);
    for (const account of accounts) {
      this.#routes.set(account, new Map());
      for (const key of account.keys) {
        this.#accountOfKey.set(key, account);
      }
    }
  }

  /**
   * What a caller may do on a route.
   *
   * @param key - as the caller shows it; undefined where it shows none
   */
  admit(route: Route, key: string | undefined): Result<AdmittedRoute, AdmissionFailure> {
    const account = key === undefined ? undefined : this.#accountOfKey.get(key);
    if (account !== undefined) {
      return this.#routeOf(account, route);
    }
    return route.admitsAnonymous ? Ok({ route, account }) : Err('unknown-key');
  }

  #routeOf(account: ClientAccount, route: Route): Result<AdmittedRoute, AdmissionFailure> {
    const known = this.#routes.get(account)?.get(route);
    if (known !== undefined) {
      return known;
    }
    const made = this.#makeRoute(account, route);
    this.#routes.get(account)?.set(route, made);
    return made;
  }

  #makeRoute(account: ClientAccount, route: Route): Result<AdmittedRoute, AdmissionFailure> {
    const homeRegions = commonRegions(route.homeRegions, account.homeRegions);
    if (homeRegions === undefined) {
      return Err('no-common-region');
    }
    const priority = this.#rank(account.priority, route.priority);
    return Ok({ route: { ...route, homeRegions, priority }, account });
  }

  /** The account's priority decides, and among its equals the route's. */
  #rank(ofAccount: number, ofRoute: number): number {
    return (ofAccount - this.#mostUrgentAccount) * (this.#leastUrgentRoute + 1) + ofRoute;
  }
}

/** Regions that both allow, empty where any may; undefined where there is none. */
function commonRegions(one: readonly string[], other: readonly string[]): string[] | undefined {
  if (one.length === 0 || other.length === 0) {
    return [...one, ...other];
  }
  const common = one.filter((region) => other.includes(region));
  return common.length === 0 ? undefined : common;
}
