import { describe, expect, it } from 'vitest';
import { encodeLimits, limitsSchema } from '../../src/peers/limit-rows.js';

describe('rows of limits', () => {
  it('tell limits, lifted ones, and what is used and wanted', () => {
    const told = {
      usage: { used: { 'i-1~1': 3 }, demand: { 'i-1~1': 0.25 } },
      limits: new Map([
        ['i-1~1', { perSecond: 4.6, ageMilliseconds: 300 }],
        ['i-2~1', { perSecond: undefined, ageMilliseconds: 1_200 }],
      ]),
    };
    expect(limitsSchema.parse(encodeLimits(told))).toEqual({
      usage: { used: { 'i-1~1': 3, 'i-2~1': 0 }, demand: { 'i-1~1': 0.25, 'i-2~1': 0 } },
      limits: told.limits,
    });
  });

  it('are empty where no target names a limit', () => {
    expect(encodeLimits({ usage: { used: {}, demand: {} }, limits: new Map() })).toBe('');
  });

  it.each([
    'i-1\tmany\t1\t1\t1',
    'i-1\t-1\t1\t1\t1',
    'i-1\t1\t-1\t1\t1',
    'i-1\t1\t1\tx\t1',
    'i-1\t1\t1',
    'i-1',
  ])('pass over one that makes no sense: %j', (row) => {
    const { limits: words } = limitsSchema.parse(`${row}\ni-2\t1\t1\t1\t1`);
    expect([...words.keys()]).toEqual(['i-2']);
  });

  it('take some 25 bytes for a target', () => {
    const words = new Map(
      Array.from({ length: 100 }, (_, index) => [
        `i-${1_000_000 + index}~kx3f2a9q`,
        { perSecond: 4.6, ageMilliseconds: 100 },
      ]),
    );
    const bytes = encodeLimits({ usage: { used: {}, demand: {} }, limits: words }).length;
    expect(bytes / 100).toBeLessThan(40);
  });
});
