import { describe, expect, it } from 'vitest';
import { OutcomeCounter } from '../src/outcome.js';
import { makeScenario } from './fixtures.js';

function counterWith(ends: readonly (number | undefined)[], region = 'north') {
  const counter = new OutcomeCounter(makeScenario());
  for (const milliseconds of ends) {
    counter.take({ requestClass: 'lookup', region, askedAt: 0, milliseconds, refusals: 0 });
  }
  return counter;
}

describe('OutcomeCounter', () => {
  it('gives whole credit in time, a part of it late, none for what is not served', () => {
    const { credit, served, late } = counterWith([100, 250, 251, undefined]).outcome();
    expect(credit).toBeCloseTo((1 + 1 + 0.2) / 4);
    expect(served).toBeCloseTo(3 / 4);
    expect(late).toBeCloseTo(1 / 4);
  });

  it('tells the worst region and the worst windows', () => {
    const counter = counterWith([100, 100]);
    const end = { requestClass: 'lookup', region: 'south', refusals: 0 };
    counter.take({ ...end, askedAt: 2_500, milliseconds: undefined });
    const { worstRegion, worstWindows } = counter.outcome();
    expect(worstRegion).toBe(0);
    expect(worstWindows).toBeCloseTo(0.5);
    expect(counter.windows).toEqual([1, 0]);
  });
});
