import { describe, expect, it } from 'vitest';
import { AdvertisedLimit } from '../../src/index.js';

function make(perSecond: number | undefined, heardAt = 1_000): AdvertisedLimit {
  const word = new AdvertisedLimit();
  word.record(perSecond, { sentAt: heardAt - 10, now: heardAt });
  return word;
}

describe('LimitWord', () => {
  it('names none at first, and is news once', () => {
    const word = new AdvertisedLimit();
    expect(word.record(undefined, { sentAt: 0, now: 1 })).toBe(false);
    expect(word.record(2.5, { sentAt: 0, now: 1 })).toBe(true);
    expect(word.record(2.5, { sentAt: 2, now: 3 })).toBe(false);
    expect([word.perSecond, word.receivedAt]).toEqual([2.5, 3]);
  });

  it.each([
    ['is raised', 7, 7],
    ['is lowered', 1, 1],
    ['is taken back', undefined, undefined],
    ['counts as one in ten seconds where it is none', 0, 0.1],
    ['is taken as it is, however large', 1e6, 1e6],
  ])('%s by an answer to a request that was sent after the last word', (_case, named, held) => {
    const word = make(2.5);
    word.record(named, { sentAt: 1_001, now: 1_100 });
    expect(word.perSecond).toBe(held);
  });

  it.each([
    ['not raised', 7, 2.5],
    ['lowered', 1, 1],
    ['not taken back', undefined, 2.5],
  ])('is %s by an answer that may be older than the last word', (_case, named, held) => {
    const word = make(2.5);
    word.record(named, { sentAt: 999, now: 1_100 });
    expect(word.perSecond).toBe(held);
  });

  it.each([
    ['a newer word', 7, 1_500, 7],
    ['a newer word that it is lifted', undefined, 1_500, undefined],
    ['a stricter word of about the same time', 1, 1_100, 1],
    ['a milder word of about the same time', 7, 1_100, 2.5],
    ['an older word', 1, 700, 2.5],
  ])('takes what another host tells: %s', (_case, perSecond, heardAt, held) => {
    const word = make(2.5);
    word.merge({ perSecond, receivedAt: heardAt });
    expect(word.perSecond).toBe(held);
  });

  it('does not grow younger by being told again', () => {
    const word = make(2.5);
    word.merge({ perSecond: 2.5, receivedAt: 900 });
    expect(word.receivedAt).toBe(1_000);
  });
});
