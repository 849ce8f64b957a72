import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { mostStepPerSecond, OverflowAllowance } from '../src/shift-bound.js';

const BOUND = { share: 0.15, windowMilliseconds: 2_000 };

describe('the bound on shifts', () => {
  it('leaves room beside what steps of placement and overflows use up', async () => {
    const clock = new FakeClock();
    const allowance = new OverflowAllowance(clock, BOUND);
    let overflows = 0;
    for (let request = 0; request < 400; request++) {
      allowance.recordRequest();
      if (allowance.hasRoom) {
        allowance.recordOverflow();
        overflows++;
      }
    }
    const bySteps = (mostStepPerSecond(BOUND) * BOUND.windowMilliseconds) / 1_000;
    expect(overflows).toBeGreaterThan(0);
    expect(overflows / 400 + bySteps).toBeLessThan(BOUND.share);
    await clock.advance(2_500);
    expect(allowance.hasRoom).toBe(false);
  });

  it('gives few requests no overflow', () => {
    const allowance = new OverflowAllowance(new FakeClock(), BOUND);
    allowance.recordRequest();
    expect(allowance.hasRoom).toBe(false);
  });
});
