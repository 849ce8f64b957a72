import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { ColdStartLimiter } from '../src/index.js';

/** Accepted requests in any second: 1.5 times the rate plus five. */
const maxAccepted = (rate: number): number => rate * 1.5 + 5;

function makeHosts(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `host-${index}`);
}

/** Arrival times at one cold target, in milliseconds, while every host sends whenever it may. */
async function arrivals(hostCount: number, rate: number): Promise<number[]> {
  const clock = new FakeClock();
  const hosts = makeHosts(hostCount);
  const limiters = hosts.map(() => new ColdStartLimiter(clock));
  const times: number[] = [];
  for (let step = 0; step < 150; step++) {
    for (const [index, limiter] of limiters.entries()) {
      const ownName = hosts[index] ?? '';
      if (limiter.tryAcquire({ target: 'target-1', requestsPerSecond: rate, ownName, hosts })) {
        times.push(clock.now());
      }
    }
    await clock.advance(20);
  }
  return times;
}

function maxPerSecond(times: readonly number[]): number {
  const counts = times.map((from) => times.filter((at) => at >= from && at < from + 1_000).length);
  return Math.max(...counts);
}

describe('ColdStartLimiter', () => {
  it.each([
    [1, 9],
    [12, 9],
    [80, 9],
    [400, 9],
    [12, 2],
    [12, 40],
  ])('keeps the requests of %i hosts within a target rate of %i', async (count, rate) => {
    const times = await arrivals(count, rate);
    expect(maxPerSecond(times)).toBeLessThanOrEqual(maxAccepted(rate));
    expect(times.length).toBeGreaterThan(0.4 * rate * 3);
  });

  it('keeps within the rate while hosts disagree about membership', () => {
    const clock = new FakeClock();
    const all = makeHosts(12);
    let admitted = 0;
    for (const ownName of all) {
      const hosts = all.filter((name) => name === ownName || Number(name.slice(5)) % 2 === 0);
      const request = { target: 'target-1', requestsPerSecond: 9, ownName, hosts };
      admitted += new ColdStartLimiter(clock).tryAcquire(request) ? 1 : 0;
    }
    expect(admitted).toBeLessThanOrEqual(maxAccepted(9));
  });
});
