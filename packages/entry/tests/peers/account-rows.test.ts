import { describe, expect, it } from 'vitest';
import { accountUsageSchema, encodeAccountUsage } from '../../src/peers/account-rows.js';

describe('account usage rows', () => {
  it('round-trip', () => {
    const usage = { used: { haulier: 12, grower: 3 }, demand: { haulier: 5, grower: 0 } };
    expect(accountUsageSchema.parse(encodeAccountUsage(usage))).toEqual(usage);
  });

  it('round fractional requests up', () => {
    const usage = { used: { haulier: 1.2 }, demand: { haulier: 0.3 } };
    expect(accountUsageSchema.parse(encodeAccountUsage(usage))).toEqual({
      used: { haulier: 2 },
      demand: { haulier: 1 },
    });
  });

  it('are empty without usage', () => {
    expect(encodeAccountUsage({ used: {}, demand: {} })).toBe('');
  });

  it.each(['haulier\tmany\t1', 'haulier', 'haulier\t-1\t1', ''])(
    'are skipped when malformed: %j',
    (row) => {
      const text = `${row}\ngrower\t3\t0`;
      expect(accountUsageSchema.parse(text).used).toEqual({ grower: 3 });
    },
  );
});
