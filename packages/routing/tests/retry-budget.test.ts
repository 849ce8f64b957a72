import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { RetryBudget, SlidingWindowCounter } from '../src/index.js';

const SETTINGS = { ratio: 0.2, slack: 64, windowMilliseconds: 10_000 };
const HOSTS = 12;

describe('SlidingWindowCounter', () => {
  it('drops events older than one window', async () => {
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

describe('RetryBudget', () => {
  it('keeps all hosts together within the limit while they retry as often as allowed', () => {
    const clock = new FakeClock();
    const budgets = Array.from({ length: HOSTS }, () => new RetryBudget(clock, SETTINGS));
    let requests = 0;
    let retries = 0;
    for (const [index, budget] of budgets.entries()) {
      for (let request = 0; request < 10 * index; request++) {
        budget.recordRequest();
        requests++;
      }
      while (budget.tryAcquire(HOSTS)) {
        retries++;
      }
    }
    expect(retries).toBeLessThanOrEqual(SETTINGS.ratio * requests + SETTINGS.slack);
    expect(retries).toBeGreaterThan(0.6 * (SETTINGS.ratio * requests + SETTINGS.slack));
  });

  it('gives a host that just started only its share of the slack', () => {
    const budget = new RetryBudget(new FakeClock(), SETTINGS);
    let retries = 0;
    while (budget.tryAcquire(HOSTS)) {
      retries++;
    }
    expect(retries).toBeLessThanOrEqual(SETTINGS.slack / HOSTS);
  });
});
