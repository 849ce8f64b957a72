import { stableHash } from '@ferrylock/utils';
import type { Route } from './route-configuration.js';

const HASH_RANGE = 0x1_0000_0000;

/**
 * The service that a request of a split route goes to. The same text goes to the same service at
 * every entry host, and a change of weights moves only as many texts as it has to.
 *
 * @param text - what the choice is bound to, such as the request's id
 */
export function pickWeightedService(route: Route, text: string): string {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  let left = (stableHash(`${route.name} ${text}`) / HASH_RANGE) * total;
  for (const { service, weight } of route.shares) {
    if (left < weight) {
      return service;
    }
    left -= weight;
  }
  return route.shares[0]?.service ?? '';
}
