import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { FleetView } from '../../src/index.js';
import type { EntryEvent } from '../../src/index.js';
import type { ConnectionCheck } from '../../src/suspects/check-connection.js';
import type { TargetCrash } from '../../src/suspects/target-crash-detector.js';
import { TargetCrashDetector } from '../../src/suspects/target-crash-detector.js';
import { captureEvents, makeExchange, makeRoutingState, targetChange } from '../fixtures.js';

function setUp(connection: ConnectionCheck = 'refused') {
  const clock = new FakeClock();
  const { log, events } = captureEvents();
  const view = new FleetView();
  const state = makeRoutingState(clock, view, log);
  view.apply({ afterRevision: 0, revision: 2, changes: [targetChange(2)] });
  const service = state.service('verdict-api');
  const target = service?.targets.get('target-1');
  if (service === undefined || target === undefined) {
    throw new Error('the target is not known');
  }
  const checked: string[] = [];
  const told: TargetCrash[] = [];
  const ends = new TargetCrashDetector({
    clock,
    events: log,
    checkConnection: (address) => {
      checked.push(address);
      return Promise.resolve(connection);
    },
    onCrash: (end) => told.push(end),
  });
  const lose = (path: string): void => {
    ends.recordConnectionLoss(service, target, makeExchange({ path }));
  };
  return { clock, view, events, service, target, ends, checked, told, lose };
}

function linesOf(events: readonly EntryEvent[]): EntryEvent[] {
  return events.filter(({ event }) => event === 'answers-lost');
}

describe('TargetEnds', () => {
  it('tells a target’s end, with all requests that it had, where nobody listens any more', async () => {
    const { clock, ends, checked, told, events, lose } = setUp();
    lose('/one?secret=1');
    lose('/two');
    await clock.advance(100);
    expect(checked).toEqual(['127.0.0.1:1']);
    expect(ends.crashes).toBe(1);
    expect(told).toMatchObject([
      { target: 'target-1', requests: [{ path: '/one' }, { path: '/two' }] },
    ]);
    expect(linesOf(events)).toMatchObject([
      { event: 'answers-lost', connection: 'refused', target: 'target-1', service: 'verdict-api' },
    ]);
  });

  it.each(['taken', 'unknown'] as const)(
    'tells no end where a new connection is %s',
    async (connection) => {
      const { clock, ends, told, events, lose } = setUp(connection);
      lose('/one');
      await clock.advance(100);
      expect([ends.crashes, told]).toEqual([0, []]);
      expect(linesOf(events)).toMatchObject([{ event: 'answers-lost', connection }]);
    },
  );

  it('counts a request whose loss is noticed after the end to it, with no second look', async () => {
    const { clock, ends, checked, told, lose } = setUp();
    lose('/one');
    await clock.advance(100);
    lose('/late');
    await clock.advance(100);
    expect([ends.crashes, checked.length]).toEqual([1, 1]);
    expect(told[1]).toMatchObject({ target: 'target-1', requests: [{ path: '/late' }] });
  });

  it('takes an end back for an answer to what was sent before it, and for no later one', async () => {
    const { clock, target, ends, lose } = setUp();
    const sentBefore = clock.now();
    lose('/one');
    await clock.advance(100);
    expect(ends.retractCrash(target, clock.now())).toBe(false);
    expect(ends.retractCrash(target, sentBefore)).toBe(true);
    expect(ends.retractCrash(target, sentBefore)).toBe(false);
  });

  it('counts the ends of two starts under one id as two', async () => {
    const { clock, view, service, ends, told, lose } = setUp();
    lose('/one');
    await clock.advance(100);
    view.apply({ afterRevision: 2, revision: 3, changes: [targetChange(3, { bornAt: 2_000 })] });
    const next = service.targets.get('target-1');
    if (next !== undefined) {
      ends.recordConnectionLoss(service, next, makeExchange({ path: '/one' }));
    }
    await clock.advance(100);
    expect(ends.crashes).toBe(2);
    expect(new Set(told.map(({ target }) => target)).size).toBe(2);
  });

  it('expects the end of a target that leaves', async () => {
    const { clock, view, checked, told, lose } = setUp();
    view.apply({
      afterRevision: 2,
      revision: 3,
      changes: [targetChange(3, { state: 'draining' })],
    });
    lose('/one');
    await clock.advance(100);
    expect([checked, told]).toEqual([[], []]);
  });

  it('expects the end of a target that began to leave while it was looked at', async () => {
    const { clock, target, told, lose } = setUp();
    lose('/one');
    target.signals.recordLeaving();
    await clock.advance(100);
    expect(told).toEqual([]);
  });

  it('expects the end of a target whose record had gone', async () => {
    const { clock, service, checked, told, lose } = setUp();
    service.remove('target-1');
    lose('/one');
    await clock.advance(100);
    expect([checked, told]).toEqual([[], []]);
  });
});
