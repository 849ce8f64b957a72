import { describe, expect, it } from 'vitest';
import { TargetSignals } from '../src/index.js';

describe('TargetWord', () => {
  it('rests for as long as was asked for, in fractions of a second too', () => {
    const word = new TargetSignals();
    expect(word.isResting(0)).toBe(false);
    expect(word.recordRest(250, 1_000)).toBe(true);
    expect(word.isResting(1_249)).toBe(true);
    expect(word.isResting(1_250)).toBe(false);
    expect(word.restsUntil).toBe(1_250);
  });

  it('keeps the later end where it is asked again, whichever answer comes first', () => {
    const word = new TargetSignals();
    word.recordRest(3_000, 0);
    expect(word.recordRest(1_000, 500)).toBe(false);
    expect(word.restsUntil).toBe(3_000);
    expect(word.recordRest(3_000, 600)).toBe(false);
    expect(word.restsUntil).toBe(3_600);
    expect(word.recordRest(100, 4_000)).toBe(true);
  });

  it('begins no rest that lasts no time', () => {
    const word = new TargetSignals();
    expect(word.recordRest(0, 1_000)).toBe(false);
    expect(word.isResting(1_000)).toBe(false);
  });

  it('is asked again after an hour, however long a rest was asked for', () => {
    const word = new TargetSignals();
    word.recordRest(Infinity, 0);
    expect(word.isResting(3_599_999)).toBe(true);
    expect(word.isResting(3_600_000)).toBe(false);
  });

  it('leaves for good', () => {
    const word = new TargetSignals();
    expect(word.isLeaving).toBe(false);
    expect(word.recordLeaving()).toBe(true);
    expect(word.recordLeaving()).toBe(false);
    expect(word.isLeaving).toBe(true);
  });
});
