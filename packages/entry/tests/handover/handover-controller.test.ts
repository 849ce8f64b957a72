/** Guards against a second run of a request that was handed over, and against false refusals. */
import type { IncomingHttpHeaders } from 'node:http';
import { FakeClock, makeRoute } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { HandoverController } from '../../src/handover/handover-controller.js';
import {
  ANSWERED,
  encodeRefusal,
  HANDOVER_HEADER,
  HANDOVER_REQUEST_HEADER,
  HANDOVER_RESULT_HEADER,
  parseHandover,
} from '../../src/handover/handover-headers.js';
import { HandoverPeers } from '../../src/handover/handover-peers.js';
import type { RequestHandover } from '../../src/handover/request-handover.js';
import type { Refusal } from '../../src/request/refusal.js';
import { promisesNotRun, statusOf } from '../../src/request/refusal.js';
import { RequestProgress } from '../../src/request/request-progress.js';
import type { SendOutcome, TargetRequest } from '../../src/request/target-client.js';
import { captureEvents, makeExchange, makeHostRecord } from '../fixtures.js';

type Reply = (request: TargetRequest) => SendOutcome;

const LOST: Reply = () => ({ kind: 'broken', error: new Error('reset') });
const CONNECTION = { localPort: 40_001, requestsBefore: 3 };
const NOT_SENT: Reply = () => ({ kind: 'not-sent', error: new Error('refused') });

function reply(status: number, headers: IncomingHttpHeaders): Reply {
  const response = { status, headers, body: Buffer.from('body'), isDelimited: true };
  return () => ({ kind: 'answered', response });
}

/** A response that names the request. */
function named(status: number, headers: IncomingHttpHeaders = {}): Reply {
  return reply(status, { [HANDOVER_REQUEST_HEADER]: 'request-1', ...headers });
}

function refuse(refusal: Omit<Refusal, 'detail'>): Reply {
  return named(503, { [HANDOVER_RESULT_HEADER]: encodeRefusal({ ...refusal, detail: '' }) });
}

const NOT_RUN_RESULT = encodeRefusal({ reason: 'overload', ran: 'no', detail: '' });
const SERVED = reply(200, { [HANDOVER_RESULT_HEADER]: ANSWERED, 'x-mark': 'kept' });

/** Has the head of a response checked, as the client does. */
function checked(request: TargetRequest, outcome: SendOutcome): SendOutcome {
  if (outcome.kind !== 'answered') {
    return outcome;
  }
  const { status, headers } = outcome.response;
  const error = request.checkHead(status, headers);
  return error === undefined ? outcome : { kind: 'broken', error };
}

/** Makes a host with three peers, which reply in the order of the requests. */
function setUp(kind: 'repeatable' | 'once', replies: readonly Reply[], mayRepeat = true) {
  const clock = new FakeClock();
  const { log, events } = captureEvents();
  const sent: TargetRequest[] = [];
  const route = makeRoute({ kind, mostAttempts: 2 });
  const exchange = makeExchange({ route, deadlineAt: 900, path: '/verdicts/1?x=1' });
  exchange.request.headers = { host: 'jepu9.example', 'account-key': 'secret' };
  const progress = new RequestProgress(route);
  const controller = new HandoverController({
    clock,
    events: log,
    client: {
      send: (request) => {
        const outcome = checked(request, (replies[sent.length] ?? NOT_SENT)(request));
        sent.push(request);
        const connectionUse = outcome.kind === 'not-sent' ? undefined : CONNECTION;
        const startedAt = connectionUse && 0;
        return {
          outcome: Promise.resolve(outcome),
          startedAt,
          connectionUse,
          cancel: () => undefined,
        };
      },
    },
    peers: new HandoverPeers({
      random: new SeededRandom(1),
      ownName: 'own',
      ownRegion: 'jylland',
      hosts: () =>
        ['host-2', 'host-3', 'host-4'].map((name) =>
          makeHostRecord({ name, incarnation: `of ${name}`, controlAddress: name }),
        ),
      isServing: () => true,
    }),
    reachability: { unreachableMilliseconds: 1_200 },
    ownName: 'own',
    ownIncarnation: 'first',
  });
  const run = (onSend: (send: RequestHandover) => void = () => undefined) =>
    controller.run({
      exchange,
      progress,
      service: 'verdict-api',
      onSend,
      mayRepeat: () => mayRepeat,
    });
  return { run, sent, progress, events, controller };
}

describe('HandoverController', () => {
  it('returns the response of a target as it is, less the result header', async () => {
    const { run, sent, events } = setUp('once', [SERVED]);
    const response = await run();
    expect(response).toMatchObject({ status: 200, headers: { 'x-mark': 'kept' } });
    expect(response?.headers[HANDOVER_RESULT_HEADER]).toBeUndefined();
    expect(sent).toHaveLength(1);
    expect(sent[0]).toMatchObject({
      path: '/handover/verdicts/1?x=1',
      headers: { host: 'jepu9.example', 'account-key': 'secret' },
    });
    expect(parseHandover(sent[0]?.headers[HANDOVER_HEADER])).toEqual({
      from: 'own',
      fromIncarnation: 'first',
      toIncarnation: `of ${sent[0]?.address}`,
      milliseconds: 900,
      attempts: 0,
      requestId: 'request-1',
      version: 1,
      service: 'verdict-api',
    });
    expect(events).toEqual([
      expect.objectContaining({
        event: 'handed-over',
        peer: sent[0]?.address,
        outcome: 'answered',
        unreachableMilliseconds: 1_200,
      }),
    ]);
  });

  // Guards against a refusal of another request after which this one is sent to a second host.
  it('takes a response to another request for none to this one', async () => {
    const stray = reply(503, {
      [HANDOVER_REQUEST_HEADER]: 'request-0',
      [HANDOVER_RESULT_HEADER]: NOT_RUN_RESULT,
    });
    const { run, sent, progress, events } = setUp('once', [stray, SERVED]);
    expect(await run()).toBeUndefined();
    expect(sent).toHaveLength(1);
    expect(progress.outcome).toMatchObject({ ran: 'unknown' });
    expect(events).toMatchObject([
      { outcome: 'lost', detail: 'the host answered request request-0' },
    ]);
  });

  it('takes the response to its request, and that of a host that names none', async () => {
    const { run, sent } = setUp('once', [SERVED]);
    await run();
    for (const headers of [{}, { [HANDOVER_REQUEST_HEADER]: 'request-1' }]) {
      expect(sent[0]?.checkHead(200, headers)).toBeUndefined();
    }
  });

  it.each([
    ['it was not sent', NOT_SENT],
    ['the host refused it as not run', refuse({ reason: 'overload', ran: 'no' })],
    ['the host, of an older release, rejected it as a stranger’s', named(403)],
  ])('tries one other host after %s', async (_case, first) => {
    const { run, sent } = setUp('once', [first, SERVED]);
    expect((await run())?.status).toBe(200);
    expect(new Set(sent.map(({ address }) => address)).size).toBe(2);
  });

  // Guards against a second run after an answer that no host gave as its word that it had not begun.
  it.each([
    ['a handler that failed after its send', named(500)],
    ['a status that promises so, without a result', named(503)],
    ['a host that names no request', reply(503, { [HANDOVER_RESULT_HEADER]: NOT_RUN_RESULT })],
    ['a 403 that names no request', reply(403, {})],
    ['a 403 that names another', reply(403, { [HANDOVER_REQUEST_HEADER]: 'request-0' })],
    ['another program at that address', reply(404, { server: 'other' })],
    ['the HTTP server of that host: malformed', reply(400, { connection: 'close' })],
    ['the HTTP server of that host: too slow', reply(408, { connection: 'close' })],
    ['the HTTP server of that host: too large', reply(431, { connection: 'close' })],
  ])('does not believe that it was not run by %s', async (_case, first) => {
    const { run, sent, progress, events } = setUp('once', [first, SERVED]);
    expect(await run()).toBeUndefined();
    expect(sent).toHaveLength(1);
    expect(progress.outcome).toMatchObject({ reason: 'target-failed', ran: 'unknown' });
    expect(events).toMatchObject([{ outcome: 'lost' }]);
  });

  // Guards against a story that does not tell where a request went and what came back for it.
  it.each([
    [
      'a target’s answer',
      SERVED,
      {
        outcome: 'answered',
        connection: 40_001,
        requestsBefore: 3,
        answerStatus: 200,
        answerId: '',
      },
    ],
    [
      'a refusal',
      refuse({ reason: 'overload', ran: 'no' }),
      { outcome: 'refused', connection: 40_001, answerStatus: 503, answerId: 'request-1' },
    ],
    [
      'an answer to another request',
      reply(503, { [HANDOVER_REQUEST_HEADER]: 'request-0' }),
      { outcome: 'lost', connection: 40_001, answerStatus: 503, answerId: 'request-0' },
    ],
    ['a loss', LOST, { outcome: 'lost', connection: 40_001 }],
    ['nothing sent', NOT_SENT, { outcome: 'refused' }],
  ])('logs the connection and what came back: %s', async (_case, first, expected) => {
    const { run, events } = setUp('once', [first]);
    await run();
    const [event = {}] = events;
    expect(event).toMatchObject({ event: 'handed-over', ...expected });
    for (const field of ['connection', 'answerStatus', 'answerId']) {
      expect(field in event).toBe(field in expected);
    }
  });

  it('tries no third host, and passes on the refusal with its wait', async () => {
    const refusal = refuse({ reason: 'overload', ran: 'no', retryAfterSeconds: 0.7 });
    const { run, sent, progress } = setUp('once', [refusal, refusal, SERVED]);
    expect(await run()).toBeUndefined();
    expect(sent).toHaveLength(2);
    expect(progress.outcome).toMatchObject({
      reason: 'overload',
      ran: 'no',
      retryAfterSeconds: 0.7,
      isLowerBound: true,
    });
  });

  it.each([
    ['lost', LOST],
    ['answered with a result that cannot be read', named(503, { [HANDOVER_RESULT_HEADER]: 'ran' })],
    ['refused as perhaps run', refuse({ reason: 'deadline', ran: 'unknown' })],
  ])('sends a request that must not repeat nowhere else once it is %s', async (_case, first) => {
    const { run, sent, progress } = setUp('once', [first, SERVED]);
    expect(await run()).toBeUndefined();
    expect(sent).toHaveLength(1);
    expect(progress.outcome).toMatchObject({ ran: 'unknown' });
  });

  // Guards against 503 at the deadline for a request that another host said may have run.
  it.each(['deadline', 'target-failed', 'target-refused', 'over-quota', 'unknown-route'] as const)(
    'keeps for good that a request refused with %s may have run',
    async (reason) => {
      const { run, progress } = setUp('once', [refuse({ reason, ran: 'unknown' })]);
      await run();
      const { outcome } = progress;
      expect(outcome).toMatchObject({ ran: 'unknown' });
      expect('reason' in outcome && promisesNotRun(statusOf(outcome))).toBe(false);
      progress.recordRefusal({ reason: 'stopping', ran: 'no', detail: '' });
      expect(progress.outcome).toMatchObject({ ran: 'unknown' });
      progress.cancelledBy = 'deadline';
      expect(progress.outcome).toMatchObject({ reason: 'deadline', ran: 'unknown' });
    },
  );

  // Guards against 503 for a request that another host works on while the deadline passes here.
  it.each([
    ['was sent', LOST, 'deadline', 'unknown'],
    ['was not sent', NOT_SENT, 'deadline-not-run', 'no'],
    ['was refused as not run', refuse({ reason: 'overload', ran: 'no' }), 'deadline-not-run', 'no'],
  ] as const)('tells at the deadline what became of a handover: it %s', async (...row) => {
    const [, first, reason, ran] = row;
    const { run, sent, progress } = setUp('once', [first, SERVED]);
    const response = await run((send) => {
      progress.cancelledBy = 'deadline';
      send.cancel();
    });
    expect(response).toBeUndefined();
    expect(sent).toHaveLength(1);
    expect(progress.outcome).toMatchObject({ reason, ran });
  });

  // Guards against a promise that no target gave: statuses of targets are judged where they are sent.
  it.each([408, 421, 429, 503])(
    'returns a target’s %i as an answer of the target',
    async (status) => {
      const { run, sent } = setUp('once', [named(status, { [HANDOVER_RESULT_HEADER]: ANSWERED })]);
      expect(await run()).toMatchObject({ status });
      expect(sent).toHaveLength(1);
    },
  );

  // Guards against repeats at targets that no budget counts, since another host made the first send.
  it.each([
    [true, 2],
    [false, 1],
  ])(
    'repeats what a target refused at another host within the retry budget: %s',
    async (mayRepeat, sends) => {
      const refused = refuse({ reason: 'target-refused', ran: 'no' });
      const { run, sent, progress } = setUp('once', [refused, SERVED], mayRepeat);
      await run();
      expect(sent).toHaveLength(sends);
      expect(progress.attempts).toBe(1);
      expect(parseHandover(sent.at(-1)?.headers[HANDOVER_HEADER])?.attempts).toBe(sends - 1);
    },
  );

  it.each([
    [true, 2],
    [false, 1],
  ])('repeats a lost repeatable request within the retry budget: %s', async (mayRepeat, sends) => {
    const { run, sent } = setUp('repeatable', [LOST, SERVED], mayRepeat);
    expect((await run())?.status).toBe(mayRepeat ? 200 : undefined);
    expect(sent).toHaveLength(sends);
    const [, second] = sent.map(({ headers }) => parseHandover(headers[HANDOVER_HEADER])?.attempts);
    expect(second).toBe(mayRepeat ? 1 : undefined);
  });

  it('does not deny a request for the older configuration of another host', async () => {
    const denied = named(404, {
      [HANDOVER_RESULT_HEADER]: encodeRefusal({ reason: 'unknown-route', ran: 'no', detail: '' }),
    });
    const { run, progress } = setUp('once', [denied, denied]);
    expect(await run()).toBeUndefined();
    expect(progress.outcome).toMatchObject({ reason: 'overload', ran: 'no' });
  });
});
