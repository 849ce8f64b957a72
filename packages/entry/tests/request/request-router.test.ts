import { FakeClock, makeAccount } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { FleetView } from '../../src/index.js';
import { BodyReader } from '../../src/request/body-reader.js';
import { RequestRouter } from '../../src/request/request-router.js';
import { ShutdownWindow } from '../../src/shutdown-window.js';
import { ByteBudget } from '../../src/transfers/byte-budget.js';
import {
  captureEvents,
  configurationChange,
  makeAccountDuty,
  makeConfiguration,
  makeExchange,
  makeRoutingState,
} from '../fixtures.js';

const CONFIRMED = { epoch: 0, revision: 6 };
/** Tightest bound of a deployment on the time until all hosts go by a change. */
const BOUND_MILLISECONDS = 2_000;

/** Makes the router of a host that was confirmed some time ago. */
async function setUp(sinceConfirmed: number, changes = {}) {
  const clock = new FakeClock();
  const view = new FleetView();
  const state = makeRoutingState(clock, view, captureEvents().log);
  view.replace(CONFIRMED, [configurationChange(6, changes)]);
  view.confirm(CONFIRMED, { at: clock.now(), source: 'store' });
  await clock.advance(sinceConfirmed);
  const shutdownWindow = new ShutdownWindow(clock);
  const router = new RequestRouter({
    clock,
    state,
    accounts: makeAccountDuty(clock),
    bodyReader: new BodyReader(clock, new ByteBudget(1_000), shutdownWindow),
    shutdownWindow,
  });
  return { clock, view, router };
}

/** A request for a path that only a later version of the configuration has. */
function makeUnknown() {
  const exchange = makeExchange();
  exchange.request.headers = { host: 'unknown.example' };
  return exchange;
}

describe('RequestRouter', () => {
  it('refuses for good what the confirmed configuration has no route for', async () => {
    const { router } = await setUp(1_400);
    expect(router.admit(makeUnknown())).toMatchObject({ reason: 'unknown-route', ran: 'no' });
  });

  // Guards against a 404 by an older version, by a host that has heard nothing for longer than the bound.
  it('refuses for the moment what a newer configuration may have a route for', async () => {
    const { clock, view, router } = await setUp(BOUND_MILLISECONDS);
    const reason = 'configuration-unconfirmed';
    expect(router.admit(makeUnknown())).toMatchObject({ reason, ran: 'no' });
    view.confirm(CONFIRMED, { at: clock.now(), source: 'host-2' });
    expect(router.admit(makeUnknown())).toMatchObject({ reason: 'unknown-route' });
  });

  it('does so for a key that a newer configuration may know', async () => {
    const accounts = [makeAccount()];
    const { router } = await setUp(BOUND_MILLISECONDS, { accounts });
    const exchange = makeExchange();
    exchange.request.headers = { host: makeConfiguration().routes[0]?.host };
    exchange.metadata = { ...exchange.metadata, accountKey: 'new' };
    expect(router.admit(exchange)).toMatchObject({ reason: 'configuration-unconfirmed' });
  });

  it('routes by the configuration that it has, however old', async () => {
    const { router } = await setUp(60_000);
    const exchange = makeExchange();
    const [route] = makeConfiguration().routes;
    exchange.request.headers = { host: route?.host };
    exchange.request.push(null);
    const admitted = router.admit(exchange);
    if ('reason' in admitted) {
      throw new Error(`refused: ${admitted.reason}`);
    }
    expect(await router.receive(admitted)).toMatchObject({ route: { name: route?.name } });
  });
});
