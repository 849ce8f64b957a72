import { describe, expect, it } from 'vitest';
import { mostLoadPerSlot } from '../src/index.js';
import { makeRoute } from '@ferrylock/test-utils';

describe('mostLoadPerSlot', () => {
  const route = makeRoute({ targetLatencyMilliseconds: 300, priority: 2 });

  it.each([
    ['before the first answer', undefined, 1.8],
    ['where waiting would be too long', 480, 1.8],
    ['as long as the wait still ends in time', 120, 2.25],
    ['never beyond all patience', 10, 2.5],
  ])('allows waiting %s', (_case, runMilliseconds, expected) => {
    expect(mostLoadPerSlot({ route, runMilliseconds, leastUrgent: 2 })).toBeCloseTo(expected);
  });

  it('refuses the less urgent first', () => {
    const urgent = makeRoute({ ...route, priority: 1 });
    const input = { runMilliseconds: 120, leastUrgent: 2 };
    expect(mostLoadPerSlot({ route: urgent, ...input })).toBeGreaterThan(
      mostLoadPerSlot({ route, ...input }),
    );
  });
});
