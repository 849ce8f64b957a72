import { describe, expect, it } from 'vitest';
import { TargetSignals } from '../src/index.js';

describe('TargetSignals', () => {
  it('rests for the requested time, including fractions of a second', () => {
    const signals = new TargetSignals();
    expect(signals.isResting(0)).toBe(false);
    expect(signals.recordRest(250, 1_000)).toBe(true);
    expect(signals.isResting(1_249)).toBe(true);
    expect(signals.isResting(1_250)).toBe(false);
    expect(signals.restsUntil).toBe(1_250);
  });

  it('keeps the latest end of several requested rests', () => {
    const signals = new TargetSignals();
    signals.recordRest(3_000, 0);
    expect(signals.recordRest(1_000, 500)).toBe(false);
    expect(signals.restsUntil).toBe(3_000);
    expect(signals.recordRest(3_000, 600)).toBe(false);
    expect(signals.restsUntil).toBe(3_600);
    expect(signals.recordRest(100, 4_000)).toBe(true);
  });

  it('ignores a rest without duration', () => {
    const signals = new TargetSignals();
    expect(signals.recordRest(0, 1_000)).toBe(false);
    expect(signals.isResting(1_000)).toBe(false);
  });

  it('limits a rest to one hour', () => {
    const signals = new TargetSignals();
    signals.recordRest(Infinity, 0);
    expect(signals.isResting(3_599_999)).toBe(true);
    expect(signals.isResting(3_600_000)).toBe(false);
  });

  it('leaves permanently', () => {
    const signals = new TargetSignals();
    expect(signals.isLeaving).toBe(false);
    expect(signals.recordLeaving()).toBe(true);
    expect(signals.recordLeaving()).toBe(false);
    expect(signals.isLeaving).toBe(true);
  });
});
