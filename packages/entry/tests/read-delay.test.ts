import { FakeClock } from '@ferrylock/test-utils';
import { expect, it } from 'vitest';
import { ReadDelay } from '../src/read-delay.js';

it('bounds how long a message may have waited, until the call after a delay', async () => {
  const clock = new FakeClock();
  const delay = new ReadDelay(clock, 200);
  await clock.advance(200);
  expect(delay.record()).toBe(0);
  await clock.advance(3_200);
  expect(delay.milliseconds).toBe(3_000);
  expect(delay.record()).toBe(3_000);
  expect(delay.milliseconds).toBe(3_000);
  await clock.advance(200);
  expect(delay.record()).toBe(0);
  expect(delay.milliseconds).toBe(0);
});
