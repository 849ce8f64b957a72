import { stablePosition } from '@ferrylock/utils';
import type { Route } from './route-configuration.js';

/**
 * Picks the service for a request of a split route by weighted hashing. All entry hosts map a text
 * to the same service by the same offset, and a change of weights moves as few texts as possible.
 *
 * @param text - hash input that determines the choice, such as the request id
 * @param offset - added to the position of the text, from 0 to 1
 */
export function pickWeightedService(route: Route, text: string, offset = 0): string {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  const position = (stablePosition(`${route.name} ${text}`) + offset) % 1;
  let remaining = position * total;
  for (const { service, weight } of route.shares) {
    if (remaining < weight) {
      return service;
    }
    remaining -= weight;
  }
  return route.shares[0]?.service ?? '';
}
