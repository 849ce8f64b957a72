import { FakeClock } from '@ferrylock/test-utils';
import { expect, it } from 'vitest';
import { Throttle } from '../src/index.js';

it('admits one occurrence per interval', async () => {
  const clock = new FakeClock();
  const throttle = new Throttle(clock, 1_000);
  expect([throttle.tryAdmit(), throttle.tryAdmit()]).toEqual([true, false]);
  await clock.advance(999);
  expect(throttle.tryAdmit()).toBe(false);
  await clock.advance(1);
  expect(throttle.tryAdmit()).toBe(true);
});
