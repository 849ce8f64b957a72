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
import { makeReachability } from '../fixtures.js';

/**
 * Guards against losing the signals of remote targets when callers disconnect before a response.
 */
const ROUND_TRIP_MILLISECONDS = 75;
const REST_MILLISECONDS = 3_000;

const METADATA: ResponseMetadata = {
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
    status === 503
      ? { ...METADATA, isNotRun: true, restMilliseconds: REST_MILLISECONDS }
      : METADATA,
} satisfies Partial<HeaderCodec>;

/** A send that the test controls. */
class ControlledSend implements SendHandle {
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
      response: { status: 503, headers, body: Buffer.alloc(0), isDelimited: true },
    });
  }
}

function setUp({ limitPerSecond }: { limitPerSecond?: number } = {}) {
  const clock = new FakeClock();
  const bound = { share: 0.15, windowMilliseconds: 2_000 };
  const service = new ServiceTargets('verdict-api', {
    clock,
    overflows: new OverflowBudget({ clock, bound, ownName: 'host-1' }),
    ownName: 'host-1',
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
  service.roundTripTimes.record(record.failureDomain, ROUND_TRIP_MILLISECONDS);
  const target = service.targets.get(record.id);
  if (target === undefined) {
    throw new Error('expected a target');
  }
  target.signals.limit.record(limitPerSecond, { sentAt: 0, now: 0 });
  /** Calls to the target's limit. */
  const limitCalls: ('asked' | 'back')[] = [];
  const sends: ControlledSend[] = [];
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
        const send = new ControlledSend(request, clock);
        sends.push(send);
        return send;
      },
    },
    signalRecorder: new TargetSignalRecorder({ clock, events, onLimitChange: () => undefined }),
    limits: {
      tryAcquire: () => {
        limitCalls.push('asked');
        return false;
      },
      release: () => {
        limitCalls.push('back');
      },
    },
    codec: dialect,
    reachability: makeReachability(clock, events),
    service,
    target,
    exchange: exchange as unknown as RoutedExchange,
  };
  const send = new TargetSend(options as unknown as TargetSendOptions);
  const [controlled] = sends;
  if (controlled === undefined) {
    throw new Error('expected a send');
  }
  return { clock, target, send, controlled, limitCalls };
}

describe('a send whose caller disconnects', () => {
  it('waits for one round trip, so that a requested rest is not missed', async () => {
    const { clock, target, send, controlled } = setUp();
    controlled.start();
    await clock.advance(50);
    send.cancel('caller-gone');
    expect(controlled.cancelledAt).toBeUndefined();
    await clock.advance(25);
    controlled.turnAway();
    await clock.advance(0);
    expect(target.isResting(clock.now())).toBe(true);
    expect(target.inFlight).toBe(0);
  });

  it('is cancelled at the target once a refusal is overdue', async () => {
    const { clock, send, controlled } = setUp();
    controlled.start();
    await clock.advance(10);
    send.cancel('caller-gone');
    await clock.advance(1_000);
    expect(controlled.cancelledAt).toBeGreaterThanOrEqual(ROUND_TRIP_MILLISECONDS);
    expect(controlled.cancelledAt).toBeLessThanOrEqual(300);
    expect(await send.verdict).toMatchObject({ kind: 'ended', cause: 'caller-gone' });
  });

  it('is cancelled immediately if a refusal is overdue or nothing was sent', async () => {
    const overdue = setUp();
    overdue.controlled.start();
    await overdue.clock.advance(400);
    overdue.send.cancel('caller-gone');
    expect(overdue.controlled.cancelledAt).toBe(400);
    const unsent = setUp();
    unsent.send.cancel('caller-gone');
    expect(unsent.controlled.cancelledAt).toBe(0);
  });

  it('is cancelled immediately at the deadline', async () => {
    const { clock, send, controlled } = setUp();
    controlled.start();
    await clock.advance(10);
    send.cancel('deadline');
    expect(controlled.cancelledAt).toBe(10);
    await clock.advance(0);
  });
});

describe('a send to a target with a limit', () => {
  it('releases its permit if nothing was sent', async () => {
    const { send, limitCalls } = setUp({ limitPerSecond: 2 });
    send.cancel('caller-gone');
    expect(await send.verdict).toMatchObject({ kind: 'ended', wasSent: false });
    expect(limitCalls).toEqual(['back']);
  });

  it('keeps its permit if it is cancelled after it was sent', async () => {
    const { clock, send, controlled, limitCalls } = setUp({ limitPerSecond: 2 });
    controlled.start();
    send.cancel('deadline');
    await clock.advance(0);
    expect(limitCalls).toEqual([]);
  });

  it('acquires a permit if the limit arrives while it waits for a connection', () => {
    const { target, controlled, limitCalls } = setUp();
    expect(controlled.request.isStillAllowed()).toBe(true);
    expect(limitCalls).toEqual([]);
    target.signals.limit.record(2, { sentAt: 0, now: 0 });
    expect(controlled.request.isStillAllowed()).toBe(false);
    expect(limitCalls).toEqual(['asked']);
  });
});
