import { FakeClock } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { RequestRate } from '../src/index.js';

describe('RequestRate', () => {
  it('is accurate from the start and drops expired requests', async () => {
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

  it('rises to a new rate within one window after silence, without overshooting', async () => {
    const clock = new FakeClock();
    const rate = new RequestRate(clock);
    rate.record();
    await clock.advance(30_000);
    const seen: number[] = [];
    for (let count = 0; count < 300; count++) {
      rate.record();
      seen.push(rate.perSecond);
      await clock.advance(10);
    }
    expect(Math.max(...seen)).toBeLessThan(120);
    expect(seen[220]).toBeGreaterThan(80);
  });

  it('sums correctly over many hosts with less than one request per second each', async () => {
    const clock = new FakeClock();
    const random = new SeededRandom(3);
    const hosts = Array.from({ length: 100 }, () => new RequestRate(clock));
    const sums: number[] = [];
    for (let step = 0; step < 300; step++) {
      await clock.advance(50);
      for (const host of hosts) {
        // 0.2 requests per second.
        if (random.next() < 0.01) {
          host.record();
        }
      }
      if (step >= 40) {
        sums.push(hosts.reduce((sum, { perSecond }) => sum + perSecond, 0));
      }
    }
    const mean = sums.reduce((sum, value) => sum + value, 0) / sums.length;
    expect(mean).toBeGreaterThan(18);
    expect(mean).toBeLessThan(22);
  });
});
