import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { IssuedKeys, KEY_LIFETIME_MILLISECONDS } from '../../src/index.js';
import type { KeyState } from '../../src/index.js';

function makeKeys(capacity = 64): { keys: IssuedKeys; clock: FakeClock } {
  const clock = new FakeClock();
  return { keys: new IssuedKeys('incarnation-1', clock, capacity), clock };
}

describe('IssuedKeys', () => {
  it('lets a key be used once', () => {
    const { keys } = makeKeys();
    const key = keys.issue('atec', 'booking-desk');
    expect(keys.use(key, 'atec', 'booking-desk').kind).toBe('first');
    expect(keys.use(key, 'atec', 'booking-desk')).toEqual({ kind: 'repeat', state: 'running' });
  });

  it.each<[KeyState, string]>([
    ['ended', 'repeat'],
    ['mayHaveRun', 'repeat'],
    ['unused', 'first'],
  ])('after the outcome %s a second use is: %s', (state, expected) => {
    const { keys } = makeKeys();
    const key = keys.issue('atec', 'booking-desk');
    const use = keys.use(key, 'atec', 'booking-desk');
    if (use.kind === 'first') {
      keys.settle(use.number, state);
    }
    expect(keys.use(key, 'atec', 'booking-desk').kind).toBe(expected);
  });

  it.each([
    ['another account', 'skovlund', 'booking-desk'],
    ['another service', 'atec', 'quote-desk'],
  ])('refuses a key used for %s', (_name, account, service) => {
    const { keys } = makeKeys();
    const key = keys.issue('atec', 'booking-desk');
    expect(keys.use(key, account, service).kind).toBe('forged');
  });

  it('refuses a key whose number was changed', () => {
    const { keys } = makeKeys();
    const parts = keys.issue('atec', 'booking-desk').split('.');
    parts[1] = '2';
    expect(keys.use(parts.join('.'), 'atec', 'booking-desk').kind).toBe('forged');
  });

  it('refuses a key that is too old, for ever', async () => {
    const { keys, clock } = makeKeys();
    const key = keys.issue('atec', 'booking-desk');
    await clock.advance(KEY_LIFETIME_MILLISECONDS + 1);
    expect(keys.use(key, 'atec', 'booking-desk').kind).toBe('expired');
  });

  it('never runs a key again whose state has made room for newer ones', () => {
    const { keys } = makeKeys(4);
    const key = keys.issue('atec', 'booking-desk');
    keys.use(key, 'atec', 'booking-desk');
    Array.from({ length: 4 }, () => keys.issue('atec', 'booking-desk'));
    expect(keys.use(key, 'atec', 'booking-desk').kind).toBe('expired');
  });

  it('does not let a late outcome free a newer key', () => {
    const { keys } = makeKeys(4);
    const first = keys.use(keys.issue('atec', 'booking-desk'), 'atec', 'booking-desk');
    const newer = Array.from({ length: 4 }, () => keys.issue('atec', 'booking-desk'));
    const last = newer.at(-1) ?? '';
    keys.use(last, 'atec', 'booking-desk');
    if (first.kind === 'first') {
      keys.settle(first.number, 'unused');
    }
    expect(keys.use(last, 'atec', 'booking-desk').kind).toBe('repeat');
  });
});
