import { describe, expect, it } from 'vitest';
import { AdvertisedLimit } from '../../src/index.js';

function make(perSecond: number | undefined, receivedAt = 1_000): AdvertisedLimit {
  const limit = new AdvertisedLimit();
  limit.record(perSecond, { sentAt: receivedAt - 10, now: receivedAt });
  return limit;
}

describe('AdvertisedLimit', () => {
  it('starts without a limit and reports a change once', () => {
    const limit = new AdvertisedLimit();
    expect(limit.record(undefined, { sentAt: 0, now: 1 })).toBe(false);
    expect(limit.record(2.5, { sentAt: 0, now: 1 })).toBe(true);
    expect(limit.record(2.5, { sentAt: 2, now: 3 })).toBe(false);
    expect([limit.perSecond, limit.receivedAt]).toEqual([2.5, 3]);
  });

  it.each([
    ['is raised', 7, 7],
    ['is lowered', 1, 1],
    ['is revoked', undefined, undefined],
    ['has a minimum of one request in ten seconds', 0, 0.1],
    ['has no effective maximum', 1e6, 1e6],
  ])('%s by the response to a later request', (_case, advertised, expected) => {
    const limit = make(2.5);
    limit.record(advertised, { sentAt: 1_001, now: 1_100 });
    expect(limit.perSecond).toBe(expected);
  });

  it.each([
    ['not raised', 7, 2.5],
    ['lowered', 1, 1],
    ['not revoked', undefined, 2.5],
  ])('is %s by a response that may be older than the last limit', (_case, advertised, expected) => {
    const limit = make(2.5);
    limit.record(advertised, { sentAt: 999, now: 1_100 });
    expect(limit.perSecond).toBe(expected);
  });

  it.each([
    ['a newer limit', 7, 1_500, 7],
    ['a newer removal of the limit', undefined, 1_500, undefined],
    ['a stricter limit of about the same time', 1, 1_100, 1],
    ['a less strict limit of about the same time', 7, 1_100, 2.5],
    ['an older limit', 1, 700, 2.5],
  ])('merges the limit of a peer: %s', (_case, perSecond, receivedAt, expected) => {
    const limit = make(2.5);
    limit.merge({ perSecond, receivedAt });
    expect(limit.perSecond).toBe(expected);
  });

  it('keeps its time of receipt when a peer reports it again', () => {
    const limit = make(2.5);
    limit.merge({ perSecond: 2.5, receivedAt: 900 });
    expect(limit.receivedAt).toBe(1_000);
  });
});
