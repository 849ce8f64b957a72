import { FakeClock } from '@ferrylock/test-utils';
import { randomIndex, SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { maxStepPerSecond, OverflowBudget } from '../src/overflow-budget.js';

const LIMIT = { share: 0.15, windowMilliseconds: 2_000 };

function makeBudget(clock: FakeClock, ownName = 'host-1'): OverflowBudget {
  return new OverflowBudget({ clock, bound: LIMIT, ownName });
}

/**
 * Simulates hosts of one region that overflow whenever they may.
 *
 * @returns the largest share of overflows in any two seconds, and the share over the whole run
 */
async function playRegion(hosts: number, perSecond: number, waitSeconds: number) {
  const clock = new FakeClock();
  const budgets = Array.from({ length: hosts }, (_, index) => makeBudget(clock, `host-${index}`));
  const random = new SeededRandom(7);
  const windows: { requests: number; overflows: number }[] = [];
  for (let second = 0; second < 20; second++) {
    const window = { requests: 0, overflows: 0 };
    for (let step = 0; step < perSecond; step++) {
      const budget = budgets[randomIndex(random, hosts)];
      budget?.setRegion(perSecond, hosts);
      budget?.recordRequest();
      window.requests++;
      if (second >= waitSeconds && budget?.hasRoom === true) {
        budget.recordOverflow();
        window.overflows++;
      }
      await clock.advance(1_000 / perSecond);
    }
    windows.push(window);
  }
  const shares = windows.slice(1).map(({ requests, overflows }, index) => {
    const before = windows[index] ?? { requests: 0, overflows: 0 };
    return (overflows + before.overflows) / (requests + before.requests);
  });
  const all = windows.slice(waitSeconds);
  const used =
    all.reduce((sum, { overflows }) => sum + overflows, 0) /
    all.reduce((sum, { requests }) => sum + requests, 0);
  return { most: Math.max(...shares), used };
}

describe('OverflowBudget', () => {
  // Fleets of 12, 65, 195 and 300 hosts in three regions.
  it.each([
    [4, 120],
    [22, 400],
    [65, 400],
    [100, 400],
  ])(
    'is used and not exceeded by %i hosts of a region at %i requests per second, also with sudden overflow',
    async (hosts, perSecond) => {
      const steady = await playRegion(hosts, perSecond, 0);
      const sudden = await playRegion(hosts, perSecond, 10);
      expect(steady.used).toBeGreaterThan(0.02);
      expect(Math.max(steady.most, sudden.most)).toBeLessThan(LIMIT.share);
    },
  );

  it('does not exceed the shift limit together with placement steps', async () => {
    const clock = new FakeClock();
    const budget = makeBudget(clock);
    let overflows = 0;
    for (let request = 0; request < 400; request++) {
      budget.recordRequest();
      if (budget.hasRoom) {
        budget.recordOverflow();
        overflows++;
      }
    }
    const bySteps = (maxStepPerSecond(LIMIT) * LIMIT.windowMilliseconds) / 1_000;
    expect(overflows).toBeGreaterThan(0);
    expect(overflows / 400 + bySteps).toBeLessThan(LIMIT.share);
    await clock.advance(2_500);
    expect(budget.hasRoom).toBe(false);
  });

  it('allows no overflow for few requests', () => {
    const budget = makeBudget(new FakeClock());
    budget.recordRequest();
    expect(budget.hasRoom).toBe(false);
  });
});
