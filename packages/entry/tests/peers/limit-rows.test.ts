import { describe, expect, it } from 'vitest';
import { encodeLimits, limitsSchema } from '../../src/peers/limit-rows.js';

describe('limit rows', () => {
  it('round-trip limits, withdrawn limits, usage and demand', () => {
    const reported = {
      usage: { used: { 'i-1~1': 3 }, demand: { 'i-1~1': 0.25 } },
      limits: new Map([
        ['i-1~1', { perSecond: 4.6, ageMilliseconds: 300 }],
        ['i-2~1', { perSecond: undefined, ageMilliseconds: 1_200 }],
      ]),
    };
    expect(limitsSchema.parse(encodeLimits(reported))).toEqual({
      usage: { used: { 'i-1~1': 3, 'i-2~1': 0 }, demand: { 'i-1~1': 0.25, 'i-2~1': 0 } },
      limits: reported.limits,
    });
  });

  it('are empty when no target advertises a limit', () => {
    expect(encodeLimits({ usage: { used: {}, demand: {} }, limits: new Map() })).toBe('');
  });

  it.each([
    'i-1\tmany\t1\t1\t1',
    'i-1\t-1\t1\t1\t1',
    'i-1\t1\t-1\t1\t1',
    'i-1\t1\t1\tx\t1',
    'i-1\t1\t1',
    'i-1',
  ])('skip a malformed row: %j', (row) => {
    const { limits } = limitsSchema.parse(`${row}\ni-2\t1\t1\t1\t1`);
    expect([...limits.keys()]).toEqual(['i-2']);
  });

  it('take fewer than 40 bytes per target', () => {
    const limits = new Map(
      Array.from({ length: 100 }, (_, index) => [
        `i-${1_000_000 + index}~kx3f2a9q`,
        { perSecond: 4.6, ageMilliseconds: 100 },
      ]),
    );
    const bytes = encodeLimits({ usage: { used: {}, demand: {} }, limits }).length;
    expect(bytes / 100).toBeLessThan(40);
  });
});
