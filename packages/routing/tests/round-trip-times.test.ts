import { describe, expect, it } from 'vitest';
import { RoundTripTimes } from '../src/index.js';

describe('RoundTrips', () => {
  it('takes a shorter time at once and a longer one slowly', () => {
    const trips = new RoundTripTimes();
    expect(trips.of('aarhus-hal')).toBe(0);
    trips.record('aarhus-hal', 40);
    trips.record('aarhus-hal', 20);
    expect(trips.of('aarhus-hal')).toBe(20);
    trips.record('aarhus-hal', 120);
    expect(trips.of('aarhus-hal')).toBeGreaterThan(20);
    expect(trips.of('aarhus-hal')).toBeLessThan(30);
  });
});
