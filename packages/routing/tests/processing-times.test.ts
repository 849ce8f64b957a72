import { describe, expect, it } from 'vitest';
import { ProcessingTimes } from '../src/index.js';

describe('ProcessingTimes', () => {
  it('distinguishes hits from misses by whether the target had the object before', () => {
    const times = new ProcessingTimes();
    expect(times.hitMilliseconds).toBeUndefined();
    times.record(360, false);
    expect(times.missPenaltyMilliseconds).toBeUndefined();
    times.record(108, true);
    expect(times.hitMilliseconds).toBeCloseTo(108);
    expect(times.missPenaltyMilliseconds).toBeCloseTo(252);
  });

  it('counts a fast response as a hit even if this host did not expect one', () => {
    const times = new ProcessingTimes();
    times.record(360, false);
    times.record(100, true);
    times.record(110, false);
    expect(times.hitMilliseconds).toBeGreaterThan(100);
    expect(times.missPenaltyMilliseconds).toBeCloseTo(360 - (times.hitMilliseconds ?? NaN));
  });

  it('follows a general increase of processing times', () => {
    const times = new ProcessingTimes();
    times.record(100, true);
    for (let response = 0; response < 500; response++) {
      times.record(300, true);
    }
    expect(times.hitMilliseconds).toBeCloseTo(300, 0);
  });
});
