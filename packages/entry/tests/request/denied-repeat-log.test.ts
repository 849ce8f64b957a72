import { RetryBudget } from '@ferrylock/routing';
import { FakeClock } from '@ferrylock/test-utils';
import { silentLogger } from '@ferrylock/utils';
import { expect, it } from 'vitest';
import { EventLog } from '../../src/index.js';
import { DeniedRepeatLog } from '../../src/request/denied-repeat-log.js';

type Service = Parameters<DeniedRepeatLog['record']>[0];

const SETTINGS = { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 };

it('writes one line per service and second, with the denials since the line before', async () => {
  const clock = new FakeClock();
  const lines: unknown[] = [];
  const info = (event: string, fields?: object): void => {
    lines.push({ event, ...fields });
  };
  const log = new DeniedRepeatLog(clock, new EventLog({ ...silentLogger, info }));
  const [ledger, orders] = ['ledger', 'orders'].map((name) => ({
    name,
    retryBudget: new RetryBudget({ clock, bound: SETTINGS, name }),
  })) as [Service, Service];
  for (let denial = 0; denial < 30; denial++) {
    log.record(ledger);
  }
  log.record(orders);
  await clock.advance(1_000);
  log.record(ledger);
  expect(lines).toMatchObject([
    { event: 'repeats-denied', service: 'ledger', count: 1, ageMilliseconds: 0 },
    { event: 'repeats-denied', service: 'orders', count: 1 },
    { event: 'repeats-denied', service: 'ledger', count: 30, ageMilliseconds: 1_000 },
  ]);
});
