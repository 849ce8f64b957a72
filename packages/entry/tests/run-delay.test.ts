import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { RunDelay } from '../src/run-delay.js';

describe('RunDelay', () => {
  it('counts a process as behind for a while after its start and after a gap in running', async () => {
    const clock = new FakeClock();
    const delay = new RunDelay(clock);
    expect(delay.isBehind).toBe(true);
    await clock.advance(3_000);
    expect(delay.isBehind).toBe(false);
    delay.record(40);
    expect(delay.isBehind).toBe(false);
    delay.record(800);
    await clock.advance(2_900);
    expect(delay.isBehind).toBe(true);
    await clock.advance(100);
    expect(delay.isBehind).toBe(false);
  });
});
