import { FakeClock } from '@ferrylock/test-utils';
import { randomIndex, SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { maxStepPerSecond, OverflowBudget } from '../src/overflow-budget.js';

const BOUND = { share: 0.15, windowMilliseconds: 2_000 };

function makeAllowance(clock: FakeClock, ownName = 'host-1'): OverflowBudget {
  return new OverflowBudget({ clock, bound: BOUND, ownName });
}

/**
 * Hosts of one region that share its requests; all want to leave it whenever they may.
 *
 * @returns the largest part of the requests of any two seconds that left it, and of all requests
 */
async function playRegion(hosts: number, perSecond: number, waitSeconds: number) {
  const clock = new FakeClock();
  const allowances = Array.from({ length: hosts }, (_, index) =>
    makeAllowance(clock, `host-${index}`),
  );
  const random = new SeededRandom(7);
  const windows: { requests: number; overflows: number }[] = [];
  for (let second = 0; second < 20; second++) {
    const window = { requests: 0, overflows: 0 };
    for (let step = 0; step < perSecond; step++) {
      const allowance = allowances[randomIndex(random, hosts)];
      allowance?.setRegion(perSecond, hosts);
      allowance?.recordRequest();
      window.requests++;
      if (second >= waitSeconds && allowance?.hasRoom === true) {
        allowance.recordOverflow();
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

describe('the bound on shifts', () => {
  // 12, 65, 195 and 300 hosts in three regions; the last two have two requests a second each.
  it.each([
    [4, 120],
    [22, 400],
    [65, 400],
    [100, 400],
  ])(
    'is used and kept by %i hosts of a region with %i requests a second, also all at once',
    async (hosts, perSecond) => {
      const steady = await playRegion(hosts, perSecond, 0);
      const sudden = await playRegion(hosts, perSecond, 10);
      expect(steady.used).toBeGreaterThan(0.02);
      expect(Math.max(steady.most, sudden.most)).toBeLessThan(BOUND.share);
    },
  );

  it('leaves room beside what steps of placement and overflows use up', async () => {
    const clock = new FakeClock();
    const allowance = makeAllowance(clock);
    let overflows = 0;
    for (let request = 0; request < 400; request++) {
      allowance.recordRequest();
      if (allowance.hasRoom) {
        allowance.recordOverflow();
        overflows++;
      }
    }
    const bySteps = (maxStepPerSecond(BOUND) * BOUND.windowMilliseconds) / 1_000;
    expect(overflows).toBeGreaterThan(0);
    expect(overflows / 400 + bySteps).toBeLessThan(BOUND.share);
    await clock.advance(2_500);
    expect(allowance.hasRoom).toBe(false);
  });

  it('gives few requests no overflow', () => {
    const allowance = makeAllowance(new FakeClock());
    allowance.recordRequest();
    expect(allowance.hasRoom).toBe(false);
  });
});
