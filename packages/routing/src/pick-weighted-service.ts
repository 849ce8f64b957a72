import { stableHash } from '@ferrylock/utils';
import type { Route } from './route-configuration.js';

const HASH_RANGE = 0x1_0000_0000;

/**
 * Picks the service for a request of a split route by weighted hashing. All entry hosts map a text
 * to the same service, and a change of weights moves as few texts as possible.
 *
 * @param text - hash input that determines the choice, such as the request id
 */
export function pickWeightedService(route: Route, text: string): string {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = (stableHash(`${route.name} ${text}`) / HASH_RANGE) * total;
  for (const { service, weight } of route.shares) {
    if (remaining < weight) {
      return service;
    }
    remaining -= weight;
  }
  return route.shares[0]?.service ?? '';
}
