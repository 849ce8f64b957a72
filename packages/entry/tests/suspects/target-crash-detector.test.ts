import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { FleetView } from '../../src/index.js';
import type { EntryEvent } from '../../src/index.js';
import type { ConnectionCheck } from '../../src/reachability/check-connection.js';
import type { TargetCrash } from '../../src/suspects/target-crash-detector.js';
import { TargetCrashDetector } from '../../src/suspects/target-crash-detector.js';
import { captureEvents, makeExchange, makeRoutingState, targetChange } from '../fixtures.js';

function setUp(connection: ConnectionCheck = 'refused', isPathWhole = true) {
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
  const crashes: TargetCrash[] = [];
  const detector = new TargetCrashDetector({
    clock,
    events: log,
    checkConnection: (address) => {
      checked.push(address);
      return Promise.resolve(connection);
    },
    isPathWhole: () => Promise.resolve(isPathWhole),
    onCrash: (end) => crashes.push(end),
  });
  const loseResponse = (path: string): void => {
    detector.recordConnectionLoss(service, target, makeExchange({ path }));
  };
  return { clock, view, events, service, target, detector, checked, crashes, loseResponse };
}

function lossEvents(events: readonly EntryEvent[]): EntryEvent[] {
  return events.filter(({ event }) => event === 'answers-lost');
}

describe('TargetCrashDetector', () => {
  it('reports a crash with all lost requests if no process listens any more', async () => {
    const { clock, detector, checked, crashes, events, loseResponse } = setUp();
    loseResponse('/one?secret=1');
    loseResponse('/two');
    await clock.advance(100);
    expect(checked).toEqual(['127.0.0.1:1']);
    expect(detector.crashes).toBe(1);
    expect(crashes).toMatchObject([
      { target: 'target-1', requests: [{ path: '/one' }, { path: '/two' }] },
    ]);
    expect(lossEvents(events)).toMatchObject([
      { event: 'answers-lost', connection: 'refused', target: 'target-1', service: 'verdict-api' },
    ]);
  });

  it.each(['taken', 'unknown'] as const)(
    'reports no crash if a new connection is %s',
    async (connection) => {
      const { clock, detector, crashes, events, loseResponse } = setUp(connection);
      loseResponse('/one');
      await clock.advance(100);
      expect([detector.crashes, crashes]).toEqual([0, []]);
      expect(lossEvents(events)).toMatchObject([{ event: 'answers-lost', connection }]);
    },
  );

  // Guards against accusing each request in flight when the host loses its ways to the targets.
  it('reports no crash if other targets cannot be reached either', async () => {
    const { clock, detector, crashes, events, loseResponse } = setUp('refused', false);
    loseResponse('/one');
    await clock.advance(100);
    expect([detector.crashes, crashes]).toEqual([0, []]);
    expect(lossEvents(events)).toMatchObject([
      { event: 'answers-lost', connection: 'unreachable', target: 'target-1' },
    ]);
  });

  it('adds a loss that is noticed after the crash without a second check', async () => {
    const { clock, detector, checked, crashes, loseResponse } = setUp();
    loseResponse('/one');
    await clock.advance(100);
    loseResponse('/late');
    await clock.advance(100);
    expect([detector.crashes, checked.length]).toEqual([1, 1]);
    expect(crashes[1]).toMatchObject({ target: 'target-1', requests: [{ path: '/late' }] });
  });

  it('retracts a crash only for a response to a request sent before it', async () => {
    const { clock, target, detector, loseResponse } = setUp();
    const sentBefore = clock.now();
    loseResponse('/one');
    await clock.advance(100);
    expect(detector.retractCrash(target, clock.now())).toBe(false);
    expect(detector.retractCrash(target, sentBefore)).toBe(true);
    expect(detector.retractCrash(target, sentBefore)).toBe(false);
  });

  it('counts crashes of two incarnations of one target separately', async () => {
    const { clock, view, service, detector, crashes, loseResponse } = setUp();
    loseResponse('/one');
    await clock.advance(100);
    view.apply({ afterRevision: 2, revision: 3, changes: [targetChange(3, { bornAt: 2_000 })] });
    const next = service.targets.get('target-1');
    if (next !== undefined) {
      detector.recordConnectionLoss(service, next, makeExchange({ path: '/one' }));
    }
    await clock.advance(100);
    expect(detector.crashes).toBe(2);
    expect(new Set(crashes.map(({ target }) => target)).size).toBe(2);
  });

  it('ignores the end of a draining target', async () => {
    const { clock, view, checked, crashes, loseResponse } = setUp();
    view.apply({
      afterRevision: 2,
      revision: 3,
      changes: [targetChange(3, { state: 'draining' })],
    });
    loseResponse('/one');
    await clock.advance(100);
    expect([checked, crashes]).toEqual([[], []]);
  });

  it('ignores the end of a target that begins to drain during the check', async () => {
    const { clock, target, crashes, loseResponse } = setUp();
    loseResponse('/one');
    target.signals.recordLeaving();
    await clock.advance(100);
    expect(crashes).toEqual([]);
  });

  it('ignores the end of a target without a record', async () => {
    const { clock, service, checked, crashes, loseResponse } = setUp();
    service.remove('target-1');
    loseResponse('/one');
    await clock.advance(100);
    expect([checked, crashes]).toEqual([[], []]);
  });
});
