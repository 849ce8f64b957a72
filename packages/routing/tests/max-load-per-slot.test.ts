import { describe, expect, it } from 'vitest';
import { maxLoadPerSlot } from '../src/index.js';
import { makeRoute } from '@ferrylock/test-utils';

describe('mostLoadPerSlot', () => {
  const route = makeRoute({ targetLatencyMilliseconds: 300, priority: 2 });

  it.each([
    ['before the first answer', undefined, 1.8],
    ['where waiting would be too long', 480, 1.8],
    ['as long as the wait still ends in time', 120, 2.25],
    ['never beyond all patience', 10, 2.5],
  ])('allows waiting %s', (_case, runMilliseconds, expected) => {
    expect(
      maxLoadPerSlot({ route, processingMilliseconds: runMilliseconds, lowestPriority: 2 }),
    ).toBeCloseTo(expected);
  });

  it('refuses the less urgent first', () => {
    const urgent = makeRoute({ ...route, priority: 1 });
    const input = { processingMilliseconds: 120, lowestPriority: 2 };
    expect(maxLoadPerSlot({ route: urgent, ...input })).toBeGreaterThan(
      maxLoadPerSlot({ route, ...input }),
    );
  });
});
