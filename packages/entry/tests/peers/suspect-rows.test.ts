import { describe, expect, it } from 'vitest';
import { encodeSuspects, suspectsSchema } from '../../src/peers/suspect-rows.js';

const SUSPECTS = [
  {
    fingerprint: 'one',
    crashes: [
      { target: 'a', ageMilliseconds: 0, responses: 0 },
      { target: 'b', ageMilliseconds: 61_200, responses: 1 },
    ],
  },
  { fingerprint: 'two', crashes: [{ target: 'a', ageMilliseconds: 300, responses: 0 }] },
];

describe('suspect rows', () => {
  it('round-trip, with ages to a tenth of a second', () => {
    expect(suspectsSchema.parse(encodeSuspects(SUSPECTS))).toEqual(SUSPECTS);
    expect(encodeSuspects([])).toBe('');
  });

  it('take fewer than 48 bytes for a request at one target', () => {
    const fingerprint = '0a1b2c3'.padEnd(27, 'x');
    const crashes = [{ target: 'i-4d8ec641ab', ageMilliseconds: 2_000, responses: 0 }];
    expect(encodeSuspects([{ fingerprint, crashes }]).length).toBeLessThan(48);
  });

  it.each([
    ['an age that is not a number', 'one\ta\tx\t0\tb\t3\t0'],
    ['a negative age', 'one\ta\t-1\t0\tb\t3\t0'],
    ['no target', 'one\t\t1\t0\tb\t3\t0'],
    ['missing fields', 'one\tb\t3\t0\ta\t1'],
  ])('skip a crash with %s', (_case, text) => {
    expect(suspectsSchema.parse(text)).toEqual([
      { fingerprint: 'one', crashes: [{ target: 'b', ageMilliseconds: 300, responses: 0 }] },
    ]);
  });
});
