import { FakeClock } from '@ferrylock/test-utils';
import { Err } from 'ts-results-es';
import { expect, it } from 'vitest';
import { FleetView } from '../../src/index.js';
import { ViewExchange } from '../../src/peers/view-exchange.js';
import { captureEvents } from '../fixtures.js';

it('counts and logs calls that peers do not answer', async () => {
  const clock = new FakeClock();
  const { log, events } = captureEvents();
  const viewExchange = new ViewExchange({
    clock,
    events: log,
    view: new FleetView(),
    client: { delta: () => Promise.resolve(Err('no answer')), close: () => Promise.resolve() },
    storeAnsweredAt: () => -Infinity,
  });
  expect(await viewExchange.fetchFrom('10.0.0.1:2')).toBe(false);
  expect(await viewExchange.fetchFrom('10.0.0.2:2')).toBe(false);
  expect(viewExchange).toMatchObject({ calls: 2, failedCalls: 2 });
  expect(events).toEqual([
    { event: 'fetch-failed', address: '10.0.0.1:2', detail: 'no answer', failed: 1 },
  ]);
});
