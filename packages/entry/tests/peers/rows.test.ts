import { describe, expect, it } from 'vitest';
import { encodeStatuses, hostStatusesSchema } from '../../src/peers/host-status.js';
import { encodeInFlightCounts, inFlightCountsSchema } from '../../src/peers/in-flight.js';

describe('hosts’ statuses as text', () => {
  it('come back as they were', () => {
    const statuses = [
      {
        name: 'host-1',
        incarnation: 'first',
        sequence: 12,
        leaving: false,
        utilization: 0.25,
        asked: { 'verdict-api': 12, 'sorter-gate': 3 },
      },
      {
        name: 'host 2, the other',
        incarnation: 'a;b',
        sequence: 1,
        leaving: true,
        utilization: 1,
        asked: {},
      },
    ];
    expect(hostStatusesSchema.parse(encodeStatuses(statuses))).toEqual(statuses);
    expect(hostStatusesSchema.parse(encodeStatuses([]))).toEqual([]);
  });

  it.each(['host-1', 'host-1\tfirst\tnumber\t0\t0', 'host-1\tfirst\t1\t0\t'])(
    'are refused where a row is not whole: %j',
    (text) => {
      expect(hostStatusesSchema.safeParse(text).success).toBe(false);
    },
  );
});

describe('requests at targets as text', () => {
  it('come back as they were', () => {
    const inFlight = { 'i-1': 3, 'i-2': 11 };
    expect(inFlightCountsSchema.parse(encodeInFlightCounts(inFlight))).toEqual(inFlight);
    expect(inFlightCountsSchema.parse(encodeInFlightCounts({}))).toEqual({});
  });

  it('are refused where a count is none', () => {
    expect(inFlightCountsSchema.safeParse('i-1\t2\ni-2').success).toBe(false);
  });
});
