import { describe, expect, it } from 'vitest';
import { fullestLimitWindows, rateAtLimit } from '../src/index.js';
import type { ArrivalAtLimit } from '../src/index.js';

/** Requests of one host at even distances. */
function arrivals(
  count: number,
  gapMilliseconds: number,
  changes: Partial<ArrivalAtLimit> = {},
): ArrivalAtLimit[] {
  return Array.from({ length: count }, (_, index) => ({
    host: 'host-1',
    at: index * gapMilliseconds,
    limitPerSecond: 2.5,
    ...changes,
  }));
}

describe('fullestLimitWindows', () => {
  it('finds what is borne and what is not', () => {
    // 2.5 a second: 10 in a window are named, 20 are borne.
    expect(fullestLimitWindows(arrivals(50, 400))).toMatchObject([
      { fromTold: 10, named: 10, borne: 20 },
    ]);
    expect(fullestLimitWindows(arrivals(100, 190))).toMatchObject([{ fromTold: 22, borne: 20 }]);
  });

  it('leaves out the time right after the first word, and hosts that have not heard it', () => {
    expect(fullestLimitWindows(arrivals(39, 100))).toEqual([]);
    const news = Array.from({ length: 100 }, (_, index) => ({
      host: `host-${index}`,
      at: index * 100,
      limitPerSecond: 2.5,
    }));
    expect(fullestLimitWindows(news)).toMatchObject([{ fromTold: 0, arrived: 40 }]);
  });

  it('takes each time apart in which a limit is named', () => {
    const once = arrivals(50, 400);
    const never = arrivals(10, 100, { limitPerSecond: undefined });
    const later = (all: readonly ArrivalAtLimit[], by: number): ArrivalAtLimit[] =>
      all.map((one) => ({ ...one, at: one.at + by }));
    const all = [...once, ...later(never, 20_000), ...later(arrivals(100, 190), 21_000)];
    expect(fullestLimitWindows(all).map(({ fromTold }) => fromTold)).toEqual([10, 22]);
  });

  it('goes by the larger limit where one was lowered within the window', () => {
    const lowered = arrivals(60, 200).map((one) => ({
      ...one,
      limitPerSecond: one.at < 6_000 ? 5 : 1,
    }));
    const [window] = fullestLimitWindows(lowered);
    expect(window).toMatchObject({ fromTold: 20, named: 4 });
    expect(window?.at).toBeGreaterThanOrEqual(10_000);
  });
});

describe('rateAtLimit', () => {
  it('is what came in a second, from when the limit is to be kept', () => {
    expect(rateAtLimit(arrivals(50, 400))).toBeCloseTo(2.5);
    expect(rateAtLimit(arrivals(12, 400))).toBeUndefined();
  });
});
