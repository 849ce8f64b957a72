import { describe, expect, it } from 'vitest';
import { ProcessingTimes } from '../src/index.js';

describe('WorkTimes', () => {
  it('tells work on known objects from work on others by who had the object before', () => {
    const times = new ProcessingTimes();
    expect(times.hitMilliseconds).toBeUndefined();
    times.record(360, false);
    expect(times.missPenaltyMilliseconds).toBeUndefined();
    times.record(108, true);
    expect(times.hitMilliseconds).toBeCloseTo(108);
    expect(times.missPenaltyMilliseconds).toBeCloseTo(252);
  });

  it('takes a quick answer on an object new to this host for one that others made known', () => {
    const times = new ProcessingTimes();
    times.record(360, false);
    times.record(100, true);
    times.record(110, false);
    expect(times.hitMilliseconds).toBeGreaterThan(100);
    expect(times.missPenaltyMilliseconds).toBeCloseTo(360 - (times.hitMilliseconds ?? NaN));
  });

  it('follows work that takes longer throughout', () => {
    const times = new ProcessingTimes();
    times.record(100, true);
    for (let answer = 0; answer < 500; answer++) {
      times.record(300, true);
    }
    expect(times.hitMilliseconds).toBeCloseTo(300, 0);
  });
});
