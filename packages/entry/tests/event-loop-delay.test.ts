import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { EventLoopDelay } from '../src/event-loop-delay.js';

describe('EventLoopDelay', () => {
  it('reports a process as lagging for some time after its start and after a delay', async () => {
    const clock = new FakeClock();
    const delay = new EventLoopDelay(clock);
    expect(delay.isLagging).toBe(true);
    await clock.advance(3_000);
    expect(delay.isLagging).toBe(false);
    delay.record(40);
    expect(delay.isLagging).toBe(false);
    delay.record(800);
    await clock.advance(2_900);
    expect(delay.isLagging).toBe(true);
    await clock.advance(100);
    expect(delay.isLagging).toBe(false);
  });
});
