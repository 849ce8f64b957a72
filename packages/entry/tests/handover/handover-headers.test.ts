import { describe, expect, it } from 'vitest';
import {
  encodeHandover,
  encodeRefusal,
  parseHandover,
  parseRefusal,
} from '../../src/handover/handover-headers.js';

const HANDOVER = {
  from: 'höst 1, & the other=',
  fromIncarnation: 'first',
  toIncarnation: 'second',
  milliseconds: 1_250,
  attempts: 1,
};

describe('handover headers', () => {
  it('round-trip, in characters that headers may have', () => {
    const header = encodeHandover(HANDOVER);
    expect(header).toMatch(/^[\x21-\x7e]+$/);
    expect(parseHandover(header)).toEqual(HANDOVER);
    const refusal = { reason: 'overload', ran: 'no', retryAfterSeconds: 0.25 } as const;
    expect(parseRefusal(encodeRefusal({ ...refusal, detail: 'full' }))).toEqual(refusal);
    expect(parseRefusal(encodeRefusal({ reason: 'deadline', ran: 'unknown', detail: '' }))).toEqual(
      {
        reason: 'deadline',
        ran: 'unknown',
      },
    );
  });

  it.each([
    ['missing', undefined],
    ['repeated', ['a', 'b']],
    ['without an incarnation', 'from=a&toIncarnation=b&milliseconds=1&attempts=0'],
    ['with a time that is no number', encodeHandover(HANDOVER).replace('1250', 'soon')],
    ['with negative attempts', encodeHandover(HANDOVER).replace('attempts=1', 'attempts=-1')],
  ])('are rejected when %s', (_case, header) => {
    expect(parseHandover(header)).toBeUndefined();
  });

  it('take an unknown reason of a newer host for overload, but never guess whether it ran', () => {
    expect(parseRefusal('reason=new&ran=no')).toEqual({ reason: 'overload', ran: 'no' });
    expect(parseRefusal('reason=overload&ran=perhaps')).toBeUndefined();
    expect(parseRefusal('reason=overload')).toBeUndefined();
  });
});
