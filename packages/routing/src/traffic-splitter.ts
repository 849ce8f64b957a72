import { stablePosition } from '@ferrylock/utils';
import { KeyVariety } from './key-variety.js';
import { pickWeightedService } from './pick-weighted-service.js';
import type { Route, ServiceShare } from './route-configuration.js';
import { SplitBalance } from './split-balance.js';

/**
 * Standard deviation of a service's share, over all hosts, that is left to the hashing of keys. The
 * weights of a deployment are to be kept within 0.1.
 */
const MAX_KEY_DEVIATION = 0.04;
/** Largest standard deviation of the share of one key's requests that a service gets. */
const MAX_SINGLE_DEVIATION = 0.5;

export interface TrafficSplitterOptions {
  readonly hostName: string;
}

/** A split route as this host sees it. */
interface Split {
  readonly shares: readonly ServiceShare[];
  readonly balance: SplitBalance;
  readonly keys: KeyVariety;
  /** Place of this host among all hosts, from 0 to 1. */
  readonly hostPlace: number;
}

/**
 * Splits the requests of a route among services by weight. A key stays with one service, which has
 * its object cached, unless the service would get more than its weight.
 *
 * Hashing keys alone does not match the weights if keys are few: all hosts would send each of them
 * to the same service. Hosts therefore hash such keys to different services, each to one of its own.
 */
export class TrafficSplitter {
  readonly #options: TrafficSplitterOptions;
  readonly #splits = new Map<string, Split>();

  constructor(options: TrafficSplitterOptions) {
    this.#options = options;
  }

  /** @param chosen - service that another host picked for the request, and counted */
  pick(route: Route, key: string, chosen?: string): string {
    if (route.shares.length === 1) {
      return pickWeightedService(route, key);
    }
    const given = route.shares.find(({ service, weight }) => service === chosen && weight > 0);
    if (given !== undefined) {
      return given.service;
    }
    const { balance, keys, hostPlace } = this.#splitOf(route);
    const offset = hostPlace * spreadOf(keys.repeatProbability);
    keys.record(key);
    const service = balance.choose(pickWeightedService(route, key, offset));
    balance.record(service);
    return service;
  }

  /** Forgets all routes but these. */
  retain(routes: readonly Pick<Route, 'name'>[]): void {
    const names = new Set(routes.map(({ name }) => name));
    for (const name of this.#splits.keys()) {
      if (!names.has(name)) {
        this.#splits.delete(name);
      }
    }
  }

  /** What a host sent by earlier weights says nothing about the present ones. */
  #splitOf({ name, shares }: Route): Split {
    const known = this.#splits.get(name);
    if (known !== undefined && isSame(known.shares, shares)) {
      return known;
    }
    const split = {
      shares,
      balance: new SplitBalance(shares),
      keys: known?.keys ?? new KeyVariety(),
      hostPlace: known?.hostPlace ?? this.#placeFor(name),
    };
    this.#splits.set(name, split);
    return split;
  }

  #placeFor(routeName: string): number {
    return stablePosition(`${this.#options.hostName} ${routeName}`);
  }
}

/**
 * Part of the hash range over which the hosts spread a key: all of it while keys are few or unknown,
 * nothing once they are so many that hashing them alone matches the weights.
 *
 * @param repeatProbability - probability that two requests have the same key
 */
function spreadOf(repeatProbability: number): number {
  const deviation = MAX_SINGLE_DEVIATION * Math.sqrt(repeatProbability);
  return Math.max(0, 1 - MAX_KEY_DEVIATION / deviation);
}

function isSame(some: readonly ServiceShare[], others: readonly ServiceShare[]): boolean {
  const isEqual = (one: ServiceShare, other: ServiceShare | undefined): boolean =>
    one.service === other?.service && one.weight === other.weight;
  return some.length === others.length && some.every((one, index) => isEqual(one, others[index]));
}
