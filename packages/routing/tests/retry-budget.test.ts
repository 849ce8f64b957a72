import { FakeClock } from '@ferrylock/test-utils';
import type { Clock } from '@ferrylock/utils';
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
  const makeBudget = (clock: Clock, name = 'host-1 ledger'): RetryBudget =>
    new RetryBudget({ clock, bound: SETTINGS, name });

  const retryAll = (budget: RetryBudget, most = Infinity): number => {
    let retries = 0;
    while (retries < most && budget.state.available >= 1 && budget.tryAcquire()) {
      retries++;
    }
    return retries;
  };

  it('keeps all hosts together within the limit while they retry as often as allowed', async () => {
    const clock = new FakeClock();
    const budgets = Array.from({ length: HOSTS }, (_, index) => makeBudget(clock, `${index}`));
    let requests = 0;
    let retries = 0;
    for (let second = 0; second < 10; second++) {
      for (const [index, budget] of budgets.entries()) {
        budget.slackShare = 1 / HOSTS;
        for (let request = 0; request < index; request++) {
          budget.recordRequest();
          requests++;
          retries += Number(budget.tryAcquire());
        }
      }
      await clock.advance(1_000);
    }
    expect(retries).toBeLessThanOrEqual(SETTINGS.ratio * requests + SETTINGS.slack);
    expect(retries).toBeGreaterThan(0.6 * (SETTINGS.ratio * requests + SETTINGS.slack));
  });

  it('gives a host that just started only its share of the slack', () => {
    const budget = makeBudget(new FakeClock());
    budget.slackShare = 1 / HOSTS;
    let retries = 0;
    while (budget.tryAcquire()) {
      retries++;
    }
    expect(retries).toBeLessThanOrEqual(SETTINGS.slack / HOSTS);
  });

  // Guards against credit that callers have left behind at a host.
  it('drops credit some seconds after it was earned', async () => {
    const clock = new FakeClock();
    const budget = makeBudget(clock);
    for (let request = 0; request < 1_000; request++) {
      budget.recordRequest();
    }
    await clock.advance(3_000);
    expect(retryAll(budget)).toBe(0);
    expect(budget.tryAcquire()).toBe(false);
  });

  // Guards against fleets in which no host alone has credit for one retry.
  it('grants what many hosts have together, though each has a part of a retry', () => {
    const clock = new FakeClock();
    const hosts = Array.from({ length: 1_000 }, (_, index) => makeBudget(clock, `host ${index}`));
    const granted = hosts.filter((budget) => {
      budget.recordRequest();
      return budget.tryAcquire();
    });
    const earned = hosts.length * SETTINGS.ratio;
    expect(granted.length).toBeLessThanOrEqual(earned);
    expect(granted.length).toBeGreaterThan(0.6 * earned);
  });

  it('tells what it counted and what it would grant', async () => {
    const clock = new FakeClock();
    const budget = makeBudget(clock);
    for (let request = 0; request < 50; request++) {
      budget.recordRequest();
    }
    expect(retryAll(budget, 3)).toBe(3);
    await clock.advance(500);
    expect(budget.state).toMatchObject({ requests: 50, repeats: 3, ageMilliseconds: 500 });
    expect(budget.state.available).toBeGreaterThan(1);
  });
});
