import { FakeClock } from '@ferrylock/test-utils';
import { Err } from 'ts-results-es';
import { expect, it } from 'vitest';
import { FleetView } from '../../src/index.js';
import { ViewExchange } from '../../src/peers/view-exchange.js';
import { captureEvents, configurationChange } from '../fixtures.js';

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

// Guards against a change that comes late because the only call waits for a peer that cannot answer.
it('asks another peer while the first one does not answer', async () => {
  const clock = new FakeClock();
  const asked: string[] = [];
  const viewExchange = new ViewExchange({
    clock,
    events: captureEvents().log,
    view: new FleetView(),
    client: {
      delta: (address) => {
        asked.push(address);
        return new Promise(() => undefined);
      },
      close: () => Promise.resolve(),
    },
    storeAnsweredAt: () => -Infinity,
  });
  viewExchange.fetchIfIdle('10.0.0.1:2');
  await clock.advance(200);
  expect(viewExchange.fetchIfIdle('10.0.0.1:2')).toBe(false);
  expect(viewExchange.fetchIfIdle('10.0.0.2:2')).toBe(true);
  expect(asked).toEqual(['10.0.0.1:2', '10.0.0.2:2']);
});

// Guards against a late change of which no log line tells whether the host had heard of it.
it('tells how long it has lacked a change that peers have, and has waited for an answer', async () => {
  const clock = new FakeClock();
  const view = new FleetView();
  const viewExchange = new ViewExchange({
    clock,
    events: captureEvents().log,
    view,
    client: { delta: () => new Promise(() => undefined), close: () => Promise.resolve() },
    storeAnsweredAt: () => -Infinity,
  });
  expect(viewExchange.missing).toBeUndefined();
  expect(viewExchange.pendingMilliseconds).toBeUndefined();
  viewExchange.recordMissing({ epoch: 0, revision: 7 });
  await clock.advance(100);
  viewExchange.fetchIfIdle('10.0.0.1:2');
  viewExchange.recordMissing({ epoch: 0, revision: 9 });
  viewExchange.recordMissing({ epoch: 0, revision: 8 });
  await clock.advance(200);
  expect(viewExchange.missing).toEqual({ revision: 9, milliseconds: 300 });
  expect(viewExchange.pendingMilliseconds).toBe(200);
  view.replace({ epoch: 0, revision: 9 }, [configurationChange(9)]);
  expect(viewExchange.missing).toBeUndefined();
});
