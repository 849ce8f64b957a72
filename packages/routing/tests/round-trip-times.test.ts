import { describe, expect, it } from 'vitest';
import { RoundTripTimes } from '../src/index.js';

describe('RoundTripTimes', () => {
  it('adopts shorter times at once and longer ones slowly', () => {
    const times = new RoundTripTimes();
    expect(times.of('aarhus-hal')).toBe(0);
    times.record('aarhus-hal', 40);
    times.record('aarhus-hal', 20);
    expect(times.of('aarhus-hal')).toBe(20);
    times.record('aarhus-hal', 120);
    expect(times.of('aarhus-hal')).toBeGreaterThan(20);
    expect(times.of('aarhus-hal')).toBeLessThan(30);
  });
});
