import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { ColdStartLimiter } from '../src/index.js';

/** What the deployments allow: 1.5 times the rate and five requests, in any second. */
const mostInASecond = (rate: number): number => rate * 1.5 + 5;

function makeHosts(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `host-${index}`);
}

/** Arrivals at one cold target, in milliseconds, where every host sends whenever it may. */
async function arrivals(hostCount: number, rate: number): Promise<number[]> {
  const clock = new FakeClock();
  const hosts = makeHosts(hostCount);
  const gates = hosts.map(() => new ColdStartLimiter(clock));
  const times: number[] = [];
  for (let step = 0; step < 150; step++) {
    for (const [index, gate] of gates.entries()) {
      const ownName = hosts[index] ?? '';
      if (gate.tryAcquire({ target: 'target-1', requestsPerSecond: rate, ownName, hosts })) {
        times.push(clock.now());
      }
    }
    await clock.advance(20);
  }
  return times;
}

function mostInOneSecond(times: readonly number[]): number {
  const counts = times.map((from) => times.filter((at) => at >= from && at < from + 1_000).length);
  return Math.max(...counts);
}

describe('ColdGate', () => {
  it.each([
    [1, 9],
    [12, 9],
    [80, 9],
    [400, 9],
    [12, 2],
    [12, 40],
  ])('keeps the requests of %i hosts under what a target of rate %i bears', async (count, rate) => {
    const times = await arrivals(count, rate);
    expect(mostInOneSecond(times)).toBeLessThanOrEqual(mostInASecond(rate));
    expect(times.length).toBeGreaterThan(0.4 * rate * 3);
  });

  it('stays under it while hosts disagree about who is alive', () => {
    const clock = new FakeClock();
    const all = makeHosts(12);
    let taken = 0;
    for (const ownName of all) {
      const hosts = all.filter((name) => name === ownName || Number(name.slice(5)) % 2 === 0);
      const demand = { target: 'target-1', requestsPerSecond: 9, ownName, hosts };
      taken += new ColdStartLimiter(clock).tryAcquire(demand) ? 1 : 0;
    }
    expect(taken).toBeLessThanOrEqual(mostInASecond(9));
  });
});
