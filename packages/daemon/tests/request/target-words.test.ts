import { Target } from '@ferrylock/steering';
import type { RateAllotment } from '@ferrylock/steering';
import { FakeClock } from '@ferrylock/test-utils';
import { silentLogger } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { TargetWords } from '../../src/request/target-words.js';

/** This daemon is alone. */
const WHOLE: RateAllotment = {
  usablePerSecond: (_limit, cap) => cap,
  lowestPerSecond: (_limit, cap) => cap,
  burstShare: () => 1,
  recordDemand: () => undefined,
};

function makeWords() {
  const clock = new FakeClock();
  const words = new TargetWords({ clock, logger: silentLogger, allotment: WHOLE });
  const declaration = {
    address: '127.0.0.1',
    port: 1,
    slots: 4,
    failureDomain: 'fyn-1',
  };
  const target = new Target('t0', 'atec/desk/t0', 'named/desk/t0', declaration, {
    failureDomain: 'fyn-1',
    region: 'fyn',
  });
  return { clock, words, target };
}

describe('TargetWords', () => {
  it('counts a rest once until its end, and what is sent meanwhile', async () => {
    const { clock, words, target } = makeWords();
    words.take(target, 503, { 'retry-after': '3' }, 0);
    words.take(target, 503, { 'retry-after': '1' }, 0);
    words.recordSend(target);
    expect([words.rests, words.unwantedSends]).toEqual([1, 1]);
    await clock.advance(3_000);
    words.recordSend(target);
    expect(words.unwantedSends).toBe(1);
  });

  it.each([
    ['another status', 429, '3'],
    ['a time that cannot be read', 503, 'soon'],
    ['no time', 503, undefined],
  ])('makes nothing of %s', (_case, status, value) => {
    const { words, target } = makeWords();
    words.take(target, status, { 'retry-after': value }, 0);
    words.recordSend(target);
    expect([words.rests, words.unwantedSends]).toEqual([0, 0]);
  });

  it('has a limit that was named kept until an answer to a later request names none', async () => {
    const { clock, words, target } = makeWords();
    words.take(target, 200, { 'ferrylock-limit': '2' }, 0);
    expect(target.isAtLimit).toBe(true);
    await clock.advance(500);
    expect(target.isAtLimit).toBe(false);
    target.limit?.take(1);
    words.take(target, 200, { 'ferrylock-limit': 'few' }, clock.now());
    words.take(target, 200, {}, -1);
    expect(target.isAtLimit).toBe(true);
    words.take(target, 200, {}, clock.now());
    expect(target.isAtLimit).toBe(false);
  });
});
