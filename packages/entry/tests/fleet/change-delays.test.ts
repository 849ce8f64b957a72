import { expect, it } from 'vitest';
import { ChangeDelays } from '../../src/fleet/change-delays.js';

it('records no delay before the first confirmation, and none above its highest value', () => {
  const delays = new ChangeDelays();
  delays.record(5, Infinity);
  expect(delays).toMatchObject({ changes: 0 });
  delays.record(2, 10_000_000);
  expect(delays.changes).toBe(2);
  expect(delays.bounds.getValueAtPercentile(99)).toBeGreaterThanOrEqual(600_000);
});
