import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { RetryBudget, SlidingWindowCounter } from '../src/index.js';

const BOUND = { ratio: 0.2, slack: 64, windowMilliseconds: 10_000 };
const HOSTS = 12;

describe('SlidingCount', () => {
  it('forgets what lies a window back', async () => {
    const clock = new FakeClock();
    const count = new SlidingWindowCounter(clock, 10_000);
    count.add(3);
    await clock.advance(5_000);
    count.add(2);
    expect(count.total).toBe(5);
    await clock.advance(5_000);
    expect(count.total).toBe(2);
    await clock.advance(60_000);
    expect(count.total).toBe(0);
  });
});

describe('RetryAllowance', () => {
  it('keeps all hosts together under the bound, however many ask for all they can', () => {
    const clock = new FakeClock();
    const allowances = Array.from({ length: HOSTS }, () => new RetryBudget(clock, BOUND));
    let requests = 0;
    let retries = 0;
    for (const [index, allowance] of allowances.entries()) {
      for (let request = 0; request < 10 * index; request++) {
        allowance.recordRequest();
        requests++;
      }
      while (allowance.tryAcquire(HOSTS)) {
        retries++;
      }
    }
    expect(retries).toBeLessThanOrEqual(BOUND.ratio * requests + BOUND.slack);
    expect(retries).toBeGreaterThan(0.6 * (BOUND.ratio * requests + BOUND.slack));
  });

  it('gives a host that has just started no more than its part of the slack', () => {
    const allowance = new RetryBudget(new FakeClock(), BOUND);
    let retries = 0;
    while (allowance.tryAcquire(HOSTS)) {
      retries++;
    }
    expect(retries).toBeLessThanOrEqual(BOUND.slack / HOSTS);
  });
});
