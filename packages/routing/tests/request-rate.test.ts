import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { RequestRate } from '../src/index.js';

describe('RequestRate', () => {
  it('is right from the first moments after a silence, and forgets what is long ago', async () => {
    const clock = new FakeClock();
    const rate = new RequestRate(clock);
    await clock.advance(30_000);
    expect(rate.perSecond).toBe(0);
    for (let count = 0; count < 50; count++) {
      rate.record();
      await clock.advance(10);
    }
    expect(rate.perSecond).toBeGreaterThan(80);
    expect(rate.perSecond).toBeLessThan(120);
    await clock.advance(3_000);
    expect(rate.perSecond).toBe(0);
  });
});
