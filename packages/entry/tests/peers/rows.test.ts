import { describe, expect, it } from 'vitest';
import { encodeStatuses, hostStatusesSchema } from '../../src/peers/host-status.js';
import { encodeInFlightCounts, inFlightCountsSchema } from '../../src/peers/in-flight.js';

describe('host status rows', () => {
  it('round-trip', () => {
    const statuses = [
      {
        name: 'host-1',
        incarnation: 'first',
        sequence: 12,
        leaving: false,
        reachesNone: false,
        utilization: 0.25,
        asked: { 'verdict-api': 12, 'sorter-gate': 3 },
      },
      {
        name: 'host-3',
        incarnation: 'first',
        sequence: 2,
        leaving: false,
        reachesNone: true,
        utilization: 0,
        asked: {},
      },
      {
        name: 'host 2, the other',
        incarnation: 'a;b',
        sequence: 1,
        leaving: true,
        reachesNone: false,
        utilization: 1,
        asked: {},
      },
    ];
    expect(hostStatusesSchema.parse(encodeStatuses(statuses))).toEqual(statuses);
    expect(hostStatusesSchema.parse(encodeStatuses([]))).toEqual([]);
  });

  it.each(['host-1', 'host-1\tfirst\tnumber\t0\t0', 'host-1\tfirst\t1\t0\t'])(
    'are rejected when a row is incomplete: %j',
    (text) => {
      expect(hostStatusesSchema.safeParse(text).success).toBe(false);
    },
  );
});

describe('in-flight rows', () => {
  it('round-trip', () => {
    const inFlight = { 'i-1': 3, 'i-2': 11 };
    expect(inFlightCountsSchema.parse(encodeInFlightCounts(inFlight))).toEqual(inFlight);
    expect(inFlightCountsSchema.parse(encodeInFlightCounts({}))).toEqual({});
  });

  it('are rejected when a count is missing', () => {
    expect(inFlightCountsSchema.safeParse('i-1\t2\ni-2').success).toBe(false);
  });
});
