import { describe, expect, it } from 'vitest';
import { AccountMetrics } from '../../src/request/account-metrics.js';
import type { AccountOutcome } from '../../src/request/account-metrics.js';

function recordMany(
  metrics: AccountMetrics,
  account: string,
  counts: Partial<Record<AccountOutcome, number>>,
): void {
  for (const outcome of ['served', 'failed', 'overLimit'] as const) {
    for (let count = 0; count < (counts[outcome] ?? 0); count++) {
      metrics.record(account, outcome);
    }
  }
}

describe('AccountMetrics', () => {
  it('counts by account and outcome', () => {
    const metrics = new AccountMetrics();
    recordMany(metrics, 'haulier', { served: 3, failed: 1, overLimit: 2 });
    expect(metrics.rows).toEqual([{ account: 'haulier', served: 3, failed: 1, overLimit: 2 }]);
  });

  it('reports only the largest and the worst served of many accounts', () => {
    const metrics = new AccountMetrics();
    for (let index = 0; index < 500; index++) {
      recordMany(metrics, `account-${index}`, { served: 500 - index });
    }
    recordMany(metrics, 'worst', { served: 1, failed: 9 });
    const names = metrics.rows.map(({ account }) => account);
    expect(names).toContain('account-0');
    expect(names).toContain('worst');
    expect(names.length).toBeLessThanOrEqual(40);
  });

  it('does not count requests beyond a limit as failures', () => {
    const metrics = new AccountMetrics();
    for (let index = 0; index < 30; index++) {
      recordMany(metrics, `large-${index}`, { served: 100 });
      recordMany(metrics, `failing-${index}`, { served: 10, failed: 5 });
    }
    recordMany(metrics, 'flooding', { served: 5, overLimit: 900 });
    expect(metrics.rows.map(({ account }) => account)).not.toContain('flooding');
  });
});
