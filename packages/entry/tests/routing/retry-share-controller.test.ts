import { RetryBudget } from '@ferrylock/routing';
import { FakeClock } from '@ferrylock/test-utils';
import { expect, it } from 'vitest';
import type { ServiceTargets } from '@ferrylock/routing';
import { RegionDemand } from '../../src/routing/region-demand.js';
import { RetryShareController } from '../../src/routing/retry-share-controller.js';
import { makeHostRecord } from '../fixtures.js';

const SETTLED_MILLISECONDS = 6_000;
const bound = { ratio: 0.2, slack: 64, windowMilliseconds: 10_000 };

it('divides the slack of each service by its requests, less the parts of hosts that are silent', async () => {
  const clock = new FakeClock();
  const [ledger, orders] = ['ledger', 'orders'].map(
    (name) =>
      ({ name, retryBudget: new RetryBudget({ clock, bound, name }) }) as unknown as ServiceTargets,
  ) as [ServiceTargets, ServiceTargets];
  const hosts = ['host-1', 'host-2', 'host-3', 'host-4'].map((name) => makeHostRecord({ name }));
  const controller = new RetryShareController({
    clock,
    state: { services: [ledger, orders] },
    ownName: 'host-1',
    hosts: () => hosts,
    isAlive: ({ name }) => name !== 'host-4',
  });
  controller.recordHosts(hosts.length);
  await clock.advance(SETTLED_MILLISECONDS);
  const fleet = new RegionDemand();
  fleet.add('jylland', { ledger: 60, orders: 10 });
  fleet.add('fyn', { ledger: 20 });
  controller.update({ ledger: 20 }, fleet);
  expect(ledger.retryBudget.state.slackShare).toBeCloseTo((3 / 4) * (20 / 80));
  expect(orders.retryBudget.state.slackShare).toBe(0);
});
