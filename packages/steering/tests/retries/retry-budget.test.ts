import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { RetryBudget } from '../../src/index.js';

const MOST_RETRIES = 2;

/** Sends requests at a steady rate while every try fails; returns tries a request. */
async function loadMultiplication(perSecond: number, seconds: number): Promise<number> {
  const clock = new FakeClock();
  const budget = new RetryBudget(clock);
  const requests = perSecond * seconds;
  let tries = 0;
  for (let request = 0; request < requests; request++) {
    await clock.advance(1_000 / perSecond);
    budget.recordRequest();
    tries++;
    for (let retry = 0; retry < MOST_RETRIES && budget.tryTake(); retry++) {
      tries++;
    }
  }
  return tries / requests;
}

describe('RetryBudget', () => {
  it.each([50, 200, 1_000])(
    'adds at most a fifth to the load of %i/s in an outage',
    async (perSecond) => {
      expect(await loadMultiplication(perSecond, 20)).toBeLessThanOrEqual(1.2);
    },
  );

  it('leaves a quiet service a retry now and then', async () => {
    expect(await loadMultiplication(0.5, 60)).toBeGreaterThan(1.5);
  });
});
