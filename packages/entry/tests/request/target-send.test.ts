import type { IncomingHttpHeaders } from 'node:http';
import {
  NO_LIMITS,
  NO_DISABLED_MECHANISMS,
  OverflowBudget,
  ServiceTargets,
} from '@ferrylock/routing';
import { FakeClock, makeRoute, makeTargetRecord } from '@ferrylock/test-utils';
import { silentLogger } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { EventLog, TargetSignalRecorder } from '../../src/index.js';
import type { ResponseMetadata, HeaderCodec } from '../../src/index.js';
import type { RoutedExchange } from '../../src/request/caller-exchange.js';
import type { SendHandle, SendOutcome, TargetRequest } from '../../src/request/target-client.js';
import { SendCancelled } from '../../src/request/target-client.js';
import { TargetSend } from '../../src/request/target-send.js';
import type { TargetSendOptions } from '../../src/request/target-send.js';

/**
 * Callers that leave before a far target's answer is there. The pattern is hosts whose way to half of the targets and back
 * takes 75 ms, and callers that wait for half of an aim of 400 ms: of a request that was turned away elsewhere first, none
 * hears the second answer.
 */
const WAY_AND_BACK_MILLISECONDS = 75;
const REST_MILLISECONDS = 3_000;

const FACTS: ResponseMetadata = {
  requestId: 'request-1',
  isNotRun: false,
  isOtherTarget: false,
  isSigned: true,
  load: undefined,
  coldMilliseconds: undefined,
  isLeaving: false,
  restMilliseconds: undefined,
  limitPerSecond: undefined,
  unknownHeaders: [],
};

const dialect = {
  consumedHeaders: new Set<string>(),
  encodeForward: () => ({}),
  decodeResponse: (status: number) =>
    status === 503 ? { ...FACTS, isNotRun: true, restMilliseconds: REST_MILLISECONDS } : FACTS,
} satisfies Partial<HeaderCodec>;

/** A send whose course the test decides. */
class EmulatedSend implements SendHandle {
  readonly outcome: Promise<SendOutcome>;
  cancelledAt: number | undefined;
  startedAt: number | undefined;
  #settle: (outcome: SendOutcome) => void = () => undefined;

  constructor(
    readonly request: TargetRequest,
    readonly clock: FakeClock,
  ) {
    this.outcome = new Promise((resolve) => {
      this.#settle = resolve;
    });
  }

  start(): void {
    this.startedAt = this.clock.now();
  }

  cancel(): void {
    this.cancelledAt ??= this.clock.now();
    const kind = this.startedAt === undefined ? 'not-sent' : 'broken';
    this.#settle({ kind, error: new SendCancelled('given up') });
  }

  turnAway(): void {
    const headers: IncomingHttpHeaders = {};
    this.request.checkHead(503, headers);
    this.#settle({
      kind: 'answered',
      answer: { status: 503, headers, body: Buffer.alloc(0), isDelimited: true },
    });
  }
}

function setUp({ limitPerSecond }: { limitPerSecond?: number } = {}) {
  const clock = new FakeClock();
  const bound = { share: 0.15, windowMilliseconds: 2_000 };
  const service = new ServiceTargets('verdict-api', {
    clock,
    overflows: new OverflowBudget({ clock, bound, ownName: 'host-1' }),
    retryBudget: { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 },
    regionOf: (failureDomain) => failureDomain,
    ownRegion: 'jylland',
    isEvacuated: () => false,
    regionShiftLimit: bound,
    limits: NO_LIMITS,
    disabledMechanisms: NO_DISABLED_MECHANISMS,
  });
  const record = makeTargetRecord();
  service.put(record);
  service.roundTripTimes.record(record.failureDomain, WAY_AND_BACK_MILLISECONDS);
  const target = service.targets.get(record.id);
  if (target === undefined) {
    throw new Error('expected a target');
  }
  target.signals.limit.record(limitPerSecond, { sentAt: 0, now: 0 });
  /** What is asked of the target's limit. */
  const given: ('asked' | 'back')[] = [];
  const sends: EmulatedSend[] = [];
  const events = new EventLog(silentLogger);
  const exchange = {
    request: { method: 'GET', headers: {} },
    path: '/verdicts/1',
    requestId: 'request-1',
    metadata: {},
    route: makeRoute(),
    deadlineAt: 2_500,
  };
  const options = {
    clock,
    events,
    client: {
      send: (request: TargetRequest) => {
        const send = new EmulatedSend(request, clock);
        sends.push(send);
        return send;
      },
    },
    signalRecorder: new TargetSignalRecorder({ clock, events, onLimitChange: () => undefined }),
    limits: {
      tryAcquire: () => {
        given.push('asked');
        return false;
      },
      release: () => {
        given.push('back');
      },
    },
    codec: dialect,
    service,
    target,
    exchange: exchange as unknown as RoutedExchange,
  };
  const send = new TargetSend(options as unknown as TargetSendOptions);
  const [emulated] = sends;
  if (emulated === undefined) {
    throw new Error('expected a send');
  }
  return { clock, target, send, emulated, given };
}

describe('a send whose caller leaves', () => {
  it('is heard out for as long as the way takes, so that a rest is not missed', async () => {
    const { clock, target, send, emulated } = setUp();
    emulated.start();
    await clock.advance(50);
    send.cancel('caller-gone');
    expect(emulated.cancelledAt).toBeUndefined();
    await clock.advance(25);
    emulated.turnAway();
    await clock.advance(0);
    expect(target.isResting(clock.now())).toBe(true);
    expect(target.inFlight).toBe(0);
  });

  it('ends at its target once a refusal would have come, well within half a second', async () => {
    const { clock, send, emulated } = setUp();
    emulated.start();
    await clock.advance(10);
    send.cancel('caller-gone');
    await clock.advance(1_000);
    expect(emulated.cancelledAt).toBeGreaterThanOrEqual(WAY_AND_BACK_MILLISECONDS);
    expect(emulated.cancelledAt).toBeLessThanOrEqual(300);
    expect(await send.verdict).toMatchObject({ kind: 'ended', cause: 'caller-gone' });
  });

  it('ends at once where that time is over, or nothing has left', async () => {
    const late = setUp();
    late.emulated.start();
    await late.clock.advance(400);
    late.send.cancel('caller-gone');
    expect(late.emulated.cancelledAt).toBe(400);
    const unsent = setUp();
    unsent.send.cancel('caller-gone');
    expect(unsent.emulated.cancelledAt).toBe(0);
  });

  it('ends at once where its time is over: its caller waits for an answer', async () => {
    const { clock, send, emulated } = setUp();
    emulated.start();
    await clock.advance(10);
    send.cancel('deadline');
    expect(emulated.cancelledAt).toBe(10);
    await clock.advance(0);
  });
});

describe('a send to a target that names a limit', () => {
  it('gives its place back where it never left', async () => {
    const { send, given } = setUp({ limitPerSecond: 2 });
    send.cancel('caller-gone');
    expect(await send.verdict).toMatchObject({ kind: 'ended', wasSent: false });
    expect(given).toEqual(['back']);
  });

  it('keeps its place where it has reached the target, though it is cancelled', async () => {
    const { clock, send, emulated, given } = setUp({ limitPerSecond: 2 });
    emulated.start();
    send.cancel('deadline');
    await clock.advance(0);
    expect(given).toEqual([]);
  });

  it('asks for a place before its first byte where the word came while it waited for a connection', () => {
    const { target, emulated, given } = setUp();
    expect(emulated.request.isStillAllowed()).toBe(true);
    expect(given).toEqual([]);
    target.signals.limit.record(2, { sentAt: 0, now: 0 });
    expect(emulated.request.isStillAllowed()).toBe(false);
    expect(given).toEqual(['asked']);
  });
});
