import { FakeClock } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it, vi } from 'vitest';
import { FleetView } from '../../src/index.js';
import { HANDOVER_RESULT_HEADER, parseRefusal } from '../../src/handover/handover-headers.js';
import { ConfigurationKnowledge } from '../../src/request/configuration-knowledge.js';
import { RequestMetrics } from '../../src/request/request-metrics.js';
import { originElsewhere } from '../../src/request/response-origin.js';
import { ResponseWriter } from '../../src/request/response-writer.js';
import { captureEvents, configurationChange, makeExchange, makeRoutingState } from '../fixtures.js';

function unused(): never {
  throw new Error('expected no other call of the codec');
}

function setUp() {
  const clock = new FakeClock();
  const { log, events } = captureEvents();
  const view = new FleetView();
  const state = makeRoutingState(clock, view, log);
  const writer = new ResponseWriter({
    clock,
    random: new SeededRandom(1),
    events: log,
    view,
    state,
    knowledge: new ConfigurationKnowledge({
      clock,
      member: {
        view,
        state,
        viewExchange: {
          calls: 5,
          failedCalls: 2,
          missing: { revision: 8, milliseconds: 350.2 },
          pendingMilliseconds: 90.4,
        },
      },
      eventLoopDelay: { lastMilliseconds: 155.3 },
    }),
    codec: {
      consumedHeaders: new Set(),
      consumedResponseHeaders: new Set(),
      decodeRequest: unused,
      encodeForward: unused,
      decodeResponse: unused,
      localReplyHeaders: () => ({}),
    },
    reachability: { unreachableMilliseconds: 1_200.4 },
    metrics: new RequestMetrics(),
  });
  return { clock, view, writer, events };
}

it('logs what a refusal for an unknown route was based on', async () => {
  const { clock, view, writer, events } = setUp();
  const configuration = configurationChange(6, { version: 7 });
  view.replace({ revision: 6 }, [configuration]);
  await clock.advance(400);
  view.confirm({ revision: 6 }, { at: 300, source: 'host-2' });
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
      heldVersion: 7,
      revision: 6,
      confirmedBy: 'host-2',
      peerCalls: 5,
      failedPeerCalls: 2,
      missingRevision: 8,
      missingMilliseconds: 350,
      pendingCallMilliseconds: 90,
      eventLoopDelayMilliseconds: 155,
      hostAgeMilliseconds: 400,
    },
  });
});

// Guards against part of an answer that looks whole to a caller when this host is killed, and against
// requests behind it whose answers are lost with the connection.
it('gives an answer that came without a length the one that it has, and leaves its connection open', () => {
  const { writer } = setUp();
  const exchange = makeExchange();
  const writeHead = vi.spyOn(exchange.response, 'writeHead');
  const received = { status: 200, headers: {}, body: Buffer.from('full'), isDelimited: false };
  writer.deliver(exchange, received, originElsewhere(1));
  expect(writeHead).toHaveBeenCalledWith(200, { 'content-length': '4' });
  expect(exchange.response.getHeader('connection')).toBeUndefined();
});

it.each([204, 304])('gives no length with status %i', (status) => {
  const { writer } = setUp();
  const exchange = makeExchange();
  const writeHead = vi.spyOn(exchange.response, 'writeHead');
  const received = { status, headers: {}, body: Buffer.alloc(0), isDelimited: false };
  writer.deliver(exchange, received, originElsewhere(1));
  expect(writeHead).toHaveBeenCalledWith(status, {});
});

describe('a response whose status promises that the request has not run', () => {
  function received(status: number) {
    const headers = { 'x-mark': 's', 'retry-after': '1' };
    return { status, headers, body: Buffer.from('full'), isDelimited: true };
  }

  // Guards against a promise that a host of an older release passes on as a target's answer.
  it.each([408, 421, 429, 503])('is not delivered with status %i', (status) => {
    const { writer, events } = setUp();
    const exchange = makeExchange();
    writer.deliver(exchange, received(status), originElsewhere(1));
    expect(exchange.response.statusCode).toBe(502);
    expect(exchange.response.getHeader('x-mark')).toBeUndefined();
    expect(exchange.response.getHeader('retry-after')).toBeUndefined();
    expect(events).toEqual([
      expect.objectContaining({
        event: 'refused',
        status: 502,
        ran: 'unknown',
        reason: 'target-failed',
        detail: `status ${status} does not say that the request has not run`,
        attempts: 1,
      }),
    ]);
  });

  // Guards against the same promise to a host that has handed the request over.
  it('is told to another host as an unknown outcome', () => {
    const { writer } = setUp();
    const handover = {
      from: 'host-2',
      fromIncarnation: 'first',
      toIncarnation: 'first',
      milliseconds: 900,
      attempts: 0,
    };
    const exchange = makeExchange({ handover });
    writer.deliver(exchange, received(503), originElsewhere(1));
    const result = exchange.response.getHeader(HANDOVER_RESULT_HEADER);
    expect(parseRefusal(String(result))).toEqual({ reason: 'target-failed', ran: 'unknown' });
  });
});
