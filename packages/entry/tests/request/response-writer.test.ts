import { FakeClock } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { expect, it } from 'vitest';
import { FleetView } from '../../src/index.js';
import { RequestMetrics } from '../../src/request/request-metrics.js';
import { ResponseWriter } from '../../src/request/response-writer.js';
import { captureEvents, configurationChange, makeExchange, makeRoutingState } from '../fixtures.js';

function unused(): never {
  throw new Error('expected no other call of the codec');
}

it('logs what a refusal for an unknown route was based on', async () => {
  const clock = new FakeClock();
  const { log, events } = captureEvents();
  const view = new FleetView();
  const state = makeRoutingState(clock, view, log);
  const configuration = configurationChange(6, { version: 7 });
  view.replace({ revision: 6 }, [configuration]);
  await clock.advance(400);
  view.confirm({ revision: 6 }, { at: 300, source: 'host-2' });
  const writer = new ResponseWriter({
    clock,
    random: new SeededRandom(1),
    events: log,
    view,
    state,
    viewExchange: { calls: 5, failedCalls: 2 },
    codec: {
      consumedHeaders: new Set(),
      decodeRequest: unused,
      encodeForward: unused,
      decodeResponse: unused,
      localReplyHeaders: () => ({}),
    },
    reachability: { unreachableMilliseconds: 1_200.4 },
    metrics: new RequestMetrics(),
  });
  const { route, version, ...unrouted } = makeExchange();
  expect([route.name, version]).not.toContain(undefined);
  writer.refuse(unrouted, { reason: 'unknown-route', detail: 'no route', ran: 'no' });
  expect(events.at(-1)).toMatchObject({
    event: 'refused',
    version: 7,
    beliefAgeMilliseconds: 100,
    unreachableMilliseconds: 1_200,
    knowledge: {
      versionAgeMilliseconds: 400,
      revision: 6,
      confirmedBy: 'host-2',
      peerCalls: 5,
      failedPeerCalls: 2,
    },
  });
});
