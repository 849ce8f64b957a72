import { describe, expect, it } from 'vitest';
import { StartInterval } from '../../src/queue/start-interval.js';

describe('StartInterval', () => {
  it('is known once two requests were started one behind the other', () => {
    const interval = new StartInterval();
    interval.recordStart(0, true);
    expect(interval.milliseconds).toBe(0);
    interval.recordStart(6, true);
    expect(interval.milliseconds).toBe(6);
  });

  it('does not count time in which no request waited', () => {
    const interval = new StartInterval();
    interval.recordStart(0, true);
    interval.recordStart(4, false);
    interval.recordStart(5_000, true);
    interval.recordStart(5_004, true);
    expect(interval.milliseconds).toBe(4);
  });

  it('follows a host that turns slower', () => {
    const interval = new StartInterval();
    for (let index = 0; index < 20; index++) {
      interval.recordStart(4 * index, true);
    }
    for (let index = 1; index <= 40; index++) {
      interval.recordStart(76 + 20 * index, true);
    }
    expect(interval.milliseconds).toBeGreaterThan(19);
  });
});
