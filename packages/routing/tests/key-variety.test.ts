import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { KeyVariety } from '../src/key-variety.js';

/** Probability after so many requests for keys at random. */
function probabilityAfter(requests: number, keys: number): number {
  const variety = new KeyVariety();
  const random = new SeededRandom(3);
  for (let request = 0; request < requests; request++) {
    variety.record(`object-${Math.floor(random.next() * keys)}`);
  }
  return variety.repeatProbability;
}

describe('KeyVariety', () => {
  it('takes all requests for the same key while it has seen none', () => {
    expect(probabilityAfter(0, 1)).toBe(1);
  });

  it.each([1, 4, 35])('estimates how often one of %i keys repeats', (keys) => {
    expect(probabilityAfter(500, keys) * keys).toBeGreaterThan(0.7);
    expect(probabilityAfter(500, keys) * keys).toBeLessThan(1.5);
  });

  it('needs some thirty requests to tell that keys are many', () => {
    expect(probabilityAfter(30, 100_000)).toBeLessThan(1 / 300);
  });

  it('follows a change of demand', () => {
    const variety = new KeyVariety();
    for (let request = 0; request < 1_000; request++) {
      variety.record(`object-${request}`);
    }
    for (let request = 0; request < 600; request++) {
      variety.record('one');
    }
    expect(variety.repeatProbability).toBeGreaterThan(0.8);
  });
});
