import { describe, expect, it } from 'vitest';
import { pickWeightedService } from '../src/index.js';
import { makeRoute } from '@ferrylock/test-utils';

const REQUESTS = 4_000;

function shareOf(service: string, weights: Record<string, number>): number {
  const shares = Object.entries(weights).map(([name, weight]) => ({ service: name, weight }));
  const route = makeRoute({ shares });
  let count = 0;
  for (let request = 0; request < REQUESTS; request++) {
    count += pickWeightedService(route, `request-${request}`) === service ? 1 : 0;
  }
  return count / REQUESTS;
}

describe('pickWeightedService', () => {
  it.each([
    ['b', { a: 90, b: 10 }, 0.1],
    ['b', { a: 1, b: 1 }, 0.5],
    ['c', { a: 2, b: 5, c: 3 }, 0.3],
    ['a', { a: 0, b: 4 }, 0],
  ])('gives %s of %o its weight', (service, weights, share) => {
    expect(Math.abs(shareOf(service, weights) - share)).toBeLessThan(0.02);
  });

  it('maps the same text to the same service', () => {
    const route = makeRoute({
      shares: [
        { service: 'a', weight: 1 },
        { service: 'b', weight: 1 },
      ],
    });
    expect(pickWeightedService(route, 'x')).toBe(pickWeightedService(route, 'x'));
  });

  it('moves as few texts as a change of weights requires', () => {
    const before = makeRoute({
      shares: [
        { service: 'a', weight: 9 },
        { service: 'b', weight: 1 },
      ],
    });
    const after = makeRoute({
      shares: [
        { service: 'a', weight: 8 },
        { service: 'b', weight: 2 },
      ],
    });
    let moved = 0;
    for (let request = 0; request < REQUESTS; request++) {
      const text = `request-${request}`;
      moved += pickWeightedService(before, text) === pickWeightedService(after, text) ? 0 : 1;
    }
    expect(Math.abs(moved / REQUESTS - 0.1)).toBeLessThan(0.02);
  });
});
