import { describe, expect, it } from 'vitest';
import { maxLoadPerSlot } from '../src/index.js';
import { makeRoute } from '@ferrylock/test-utils';

describe('maxLoadPerSlot', () => {
  const route = makeRoute({ targetLatencyMilliseconds: 300, priority: 2 });

  it.each([
    ['before the first response', undefined, 1.8],
    ['if queueing would take too long', 480, 1.8],
    ['as long as requests still finish in time', 120, 2.25],
    ['up to the upper bound', 10, 2.5],
  ])('allows queueing %s', (_case, runMilliseconds, expected) => {
    expect(
      maxLoadPerSlot({ route, processingMilliseconds: runMilliseconds, lowestPriority: 2 }),
    ).toBeCloseTo(expected);
  });

  it('refuses lower priorities first', () => {
    const urgent = makeRoute({ ...route, priority: 1 });
    const input = { processingMilliseconds: 120, lowestPriority: 2 };
    expect(maxLoadPerSlot({ route: urgent, ...input })).toBeGreaterThan(
      maxLoadPerSlot({ route, ...input }),
    );
  });
});
