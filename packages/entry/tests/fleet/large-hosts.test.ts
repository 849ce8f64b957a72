import { expect, test } from 'vitest';
import { largeHosts } from '../../src/fleet/large-hosts.js';
import { makeHostRecord } from '../fixtures.js';

test.each([
  [
    [1.35, 0.27, 1.35, 0.27],
    [1.35, 1.35],
  ],
  [
    [0.54, 0.54, 0.54],
    [0.54, 0.54, 0.54],
  ],
  [
    [1, 0.6, 0.4],
    [1, 0.6],
  ],
  [[], []],
])('among hosts with %j cores, those with %j are large', (capacities, expected) => {
  const hosts = capacities.map((capacity) => makeHostRecord({ capacity }));
  expect(largeHosts(hosts, (host) => host).map(({ capacity }) => capacity)).toEqual(expected);
});
