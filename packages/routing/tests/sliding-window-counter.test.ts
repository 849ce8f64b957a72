import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { SlidingWindowCounter } from '../src/index.js';

describe('SlidingWindowCounter', () => {
  it('counts all events of the window, less at most one bucket', async () => {
    const clock = new FakeClock();
    const count = new SlidingWindowCounter(clock, 1_000, 10);
    const times: number[] = [];
    for (let step = 0; step < 300; step++) {
      await clock.advance(37);
      times.push(clock.now());
      count.add();
      const inLast = (milliseconds: number): number =>
        times.filter((at) => at > clock.now() - milliseconds).length;
      expect(count.total).toBeGreaterThanOrEqual(inLast(900));
      expect(count.total).toBeLessThanOrEqual(inLast(1_000) + 1);
    }
  });

  it('undoes counts, and drops all after silence', async () => {
    const clock = new FakeClock();
    const count = new SlidingWindowCounter(clock, 1_000);
    count.add(3);
    count.add(-1);
    expect(count.total).toBe(2);
    await clock.advance(5_000);
    expect(count.total).toBe(0);
  });
});
