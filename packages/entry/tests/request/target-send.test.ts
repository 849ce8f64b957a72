import type { IncomingHttpHeaders } from 'node:http';
import {
  NO_LIMITS,
  NO_DISABLED_MECHANISMS,
  OverflowBudget,
  ServiceTargets,
} from '@ferrylock/routing';
import { FakeClock, makeRoute, makeTargetRecord } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { TargetSignalRecorder } from '../../src/index.js';
import type { ResponseMetadata, HeaderCodec } from '../../src/index.js';
import type { RoutedExchange } from '../../src/request/caller-exchange.js';
import type { SendHandle, SendOutcome, TargetRequest } from '../../src/request/target-client.js';
import { SendCancelled } from '../../src/request/target-client.js';
import { StrayRecorder } from '../../src/request/stray-recorder.js';
import { TargetSend } from '../../src/request/target-send.js';
import type { TargetSendOptions } from '../../src/request/target-send.js';
import { captureEvents, makeReachability } from '../fixtures.js';

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

/** What a refusal tells of its target. */
const PUSHBACK = {
  restMilliseconds: REST_MILLISECONDS,
  limitPerSecond: 1,
  isLeaving: true,
  load: { running: 6, queued: 6, slots: 6 },
  coldMilliseconds: 9_000,
};

const dialect = {
  consumedHeaders: new Set<string>(),
  encodeForward: () => ({}),
  decodeResponse: (status: number, { id = 'request-1' }: IncomingHttpHeaders) => ({
    ...METADATA,
    requestId: typeof id === 'string' && id !== '' ? id : undefined,
    ...(status === 503 ? { isNotRun: true, restMilliseconds: REST_MILLISECONDS } : {}),
    ...(status === 429 ? { isNotRun: true, ...PUSHBACK } : {}),
    ...(status === 400 ? { isNotRun: true } : {}),
    ...(status === 421 ? { isOtherTarget: true, ...PUSHBACK } : {}),
  }),
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

  turnAway(status = 503, headers: IncomingHttpHeaders = {}): void {
    const error = this.request.checkHead(status, headers);
    if (error !== undefined) {
      this.#settle({ kind: 'broken', error });
      return;
    }
    this.#settle({
      kind: 'answered',
      response: { status, headers, body: Buffer.alloc(0), isDelimited: true },
    });
  }
}

interface SetUpOptions {
  readonly limitPerSecond?: number;
  readonly usesOwnConnection?: boolean;
}

function setUp({ limitPerSecond, usesOwnConnection = false }: SetUpOptions = {}) {
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
  if (usesOwnConnection) {
    service.disableConnectionReuse();
  }
  /** Calls to the target's limit. */
  const limitCalls: ('asked' | 'back')[] = [];
  const sends: ControlledSend[] = [];
  const { log: events, events: written } = captureEvents();
  const strayRecorder = new StrayRecorder(events);
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
    strayRecorder,
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
  return { clock, service, target, send, controlled, limitCalls, strayRecorder, written };
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

describe('a response with the id of another request', () => {
  // Guards against a surplus refusal that is taken for the answer to the next request, which runs.
  it.each([503, 429, 400, 421])(
    'with status %i does not tell that this request has not run',
    async (status) => {
      const { send, controlled, strayRecorder } = setUp();
      controlled.start();
      controlled.turnAway(status, { id: 'request-0' });
      expect(await send.verdict).toMatchObject({ kind: 'unknown', reason: 'target-failed' });
      const kind = status === 421 ? 'misdirected' : 'refusal';
      expect(strayRecorder.counts).toEqual([{ kind, id: 'other', count: 1 }]);
    },
  );

  // Guards against late words of a target that are taken for its present state.
  it.each([429, 421])(
    'with status %i changes nothing that is known of the target',
    async (status) => {
      const { clock, service, target, send, controlled } = setUp();
      const load = target.load(clock.now());
      controlled.start();
      controlled.turnAway(status, { id: 'request-0' });
      await send.verdict;
      expect(target.isResting(clock.now())).toBe(false);
      expect(target.signals.isLeaving).toBe(false);
      expect(target.signals.limit.perSecond).toBeUndefined();
      expect(target.load(clock.now())).toBe(load - 1);
      expect(service.targets.get(target.id)).toBe(target);
      expect(target.leaving).toBe(false);
      expect(service.isConnectionReuseDisabled).toBe(true);
    },
  );

  it('is named with its request', async () => {
    const { send, controlled } = setUp();
    controlled.start();
    controlled.turnAway(503, { id: 'request-0' });
    expect(await send.verdict).toMatchObject({
      detail: 'a refusal with status 503 is to request-0',
    });
  });
});

describe('a response with the id of this request', () => {
  // Guards against the load of another target that answers at the address of this one.
  it('from another target does not tell the load of this one', async () => {
    const { clock, target, send, controlled } = setUp();
    const load = target.load(clock.now());
    controlled.start();
    controlled.turnAway(421);
    expect(await send.verdict).toMatchObject({ kind: 'not-run' });
    expect(target.load(clock.now())).toBe(load - 1);
  });
});

describe('a refusal without an id', () => {
  it.each([503, 421])(
    'with status %i tells nothing on a connection that carried other requests',
    async (status) => {
      const { send, controlled, strayRecorder, written } = setUp();
      controlled.start();
      controlled.turnAway(status, { id: '' });
      expect(await send.verdict).toMatchObject({ kind: 'unknown' });
      expect(strayRecorder.counts).toMatchObject([{ id: 'missing', count: 1 }]);
      expect(written).toContainEqual(expect.objectContaining({ event: 'unreadable-answer' }));
    },
  );

  it.each([503, 421])('with status %i counts on a connection of its own', async (status) => {
    const { send, controlled } = setUp({ usesOwnConnection: true });
    expect(controlled.request.usesOwnConnection).toBe(true);
    controlled.start();
    controlled.turnAway(status, { id: '' });
    expect(await send.verdict).toMatchObject({ kind: 'not-run' });
  });
});
