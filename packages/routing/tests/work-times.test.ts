import { describe, expect, it } from 'vitest';
import { WorkTimes } from '../src/index.js';

describe('WorkTimes', () => {
  it('tells work on known objects from work on others by who had the object before', () => {
    const times = new WorkTimes();
    expect(times.knownMilliseconds).toBeUndefined();
    times.record(360, false);
    expect(times.extraMilliseconds).toBeUndefined();
    times.record(108, true);
    expect(times.knownMilliseconds).toBeCloseTo(108);
    expect(times.extraMilliseconds).toBeCloseTo(252);
  });

  it('takes a quick answer on an object new to this host for one that others made known', () => {
    const times = new WorkTimes();
    times.record(360, false);
    times.record(100, true);
    times.record(110, false);
    expect(times.knownMilliseconds).toBeGreaterThan(100);
    expect(times.extraMilliseconds).toBeCloseTo(360 - (times.knownMilliseconds ?? NaN));
  });

  it('follows work that takes longer throughout', () => {
    const times = new WorkTimes();
    times.record(100, true);
    for (let answer = 0; answer < 500; answer++) {
      times.record(300, true);
    }
    expect(times.knownMilliseconds).toBeCloseTo(300, 0);
  });
});
