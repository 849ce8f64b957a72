import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { AdaptiveRequestRate } from '../../src/limits/adaptive-request-rate.js';

async function rateAfter(count: number, gapMilliseconds: number): Promise<number> {
  const clock = new FakeClock();
  const rate = new AdaptiveRequestRate(clock);
  for (let request = 0; request < count; request++) {
    await clock.advance(gapMilliseconds);
    rate.record();
  }
  await clock.advance(gapMilliseconds);
  return rate.perSecond;
}

describe('AdaptiveRequestRate', () => {
  it.each([
    [100, 10, 100],
    [100, 1_000, 1],
    [100, 20_000, 0.05],
  ])('measures %i requests every %i ms as %d per second', async (count, gap, perSecond) => {
    expect(await rateAfter(count, gap)).toBeCloseTo(perSecond);
  });

  it('spreads few requests over at least four seconds', async () => {
    expect(await rateAfter(2, 10)).toBe(0.5);
  });

  it('decays without requests and is zero after a few intervals', async () => {
    const clock = new FakeClock();
    const rate = new AdaptiveRequestRate(clock);
    for (let request = 0; request < 8; request++) {
      rate.record();
      await clock.advance(100);
    }
    const busy = rate.perSecond;
    await clock.advance(1_500);
    expect(rate.perSecond).toBeLessThan(busy / 2);
    expect(rate.perSecond).toBeGreaterThan(0);
    await clock.advance(500);
    expect(rate.perSecond).toBe(0);
  });
});
