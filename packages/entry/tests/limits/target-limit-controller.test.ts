import { TargetState } from '@ferrylock/routing';
import { NO_DISABLED_MECHANISMS } from '@ferrylock/routing';
import { FakeClock, makeTargetRecord } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { TargetLimitController } from '../../src/limits/target-limit-controller.js';
import type { ReportedLimits } from '../../src/peers/limit-rows.js';
import { captureEvents, makeHostRecord } from '../fixtures.js';

const HOSTS = 4;

/** Controller of `host-1` among four hosts, with the given hosts alive. */
function makeController(alive = new Set(['host-2', 'host-3', 'host-4'])) {
  const clock = new FakeClock();
  const { log, events } = captureEvents();
  const names = Array.from({ length: HOSTS }, (_, index) => `host-${index + 1}`);
  const records = names.map((name) => makeHostRecord({ name }));
  const target = new TargetState(makeTargetRecord({ bornAt: 1 }), 0);
  const updates = { count: 0 };
  const controller = new TargetLimitController({
    clock,
    random: new SeededRandom(1),
    events: log,
    ownName: 'host-1',
    disabledMechanisms: NO_DISABLED_MECHANISMS,
    hosts: () => records,
    hostNames: () => names,
    isAlive: ({ name }) => alive.has(name),
    targetOfStart: (start) => (start === target.incarnationId ? target : undefined),
    onUpdate: () => {
      updates.count++;
    },
  });
  const setLimit = (perSecond: number | undefined): void => {
    target.signals.limit.record(perSecond, { sentAt: clock.now(), now: clock.now() });
    controller.recordLimitChange(target);
  };
  return { clock, controller, target, events, updates, setLimit, alive };
}

function reportOf(
  start: string,
  perSecond: number | undefined,
  ageMilliseconds = 100,
): ReportedLimits {
  return {
    usage: { used: { [start]: 1 }, demand: { [start]: 2 } },
    limits: new Map([[start, { perSecond, ageMilliseconds }]]),
  };
}

const other = { name: 'host-2', incarnation: 'first' };

describe('TargetLimitController', () => {
  it('reports and merges nothing while no target advertises a limit', () => {
    const { controller } = makeController();
    controller.beginReport(1);
    expect(controller.buildReport().limits.size).toBe(0);
    controller.mergeHostReport(other, undefined);
    expect(controller.hasReport(other)).toBe(false);
  });

  it('applies a limit reported by another host once and reports it immediately', () => {
    const { controller, target, events, updates } = makeController();
    controller.mergeHostReport(other, reportOf(target.incarnationId, 2.5));
    controller.mergeHostReport(other, reportOf(target.incarnationId, 2.5));
    expect(target.signals.limit.perSecond).toBe(2.5);
    expect(updates.count).toBe(1);
    expect(events).toMatchObject([{ event: 'target', state: 'limited', target: target.id }]);
    expect(controller.hasReport(other)).toBe(true);
    controller.beginReport(1);
    expect([...controller.buildReport().limits]).toEqual([
      [target.incarnationId, { perSecond: 2.5, ageMilliseconds: 100 }],
    ]);
  });

  it('ignores an unknown incarnation', () => {
    const { controller, target } = makeController();
    controller.mergeHostReport(other, reportOf('another~1', 2.5));
    expect(target.signals.limit.perSecond).toBeUndefined();
    expect(controller.buildReport().limits.size).toBe(0);
  });

  it('reports for a while that a limit was withdrawn', async () => {
    const { clock, controller, target, setLimit } = makeController();
    setLimit(2.5);
    await clock.advance(1_000);
    setLimit(undefined);
    controller.beginReport(1);
    expect(controller.buildReport().limits.get(target.incarnationId)).toEqual({
      perSecond: undefined,
      ageMilliseconds: 0,
    });
    await clock.advance(10_001);
    controller.sweep();
    expect(controller.buildReport().limits.size).toBe(0);
  });

  it('does not restore a withdrawn limit from an older report', async () => {
    const { clock, controller, target, setLimit } = makeController();
    setLimit(2.5);
    await clock.advance(1_000);
    setLimit(undefined);
    controller.mergeHostReport(other, reportOf(target.incarnationId, 2.5, 900));
    expect(target.signals.limit.perSecond).toBeUndefined();
  });

  it('scales its share of a limit by the live hosts, and reduces it after a suspension', async () => {
    const { clock, controller, target, setLimit, alive } = makeController();
    setLimit(8);
    const share = (): number => controller.limits.usageOf(target)?.partPerSecond ?? 0;
    const whole = share();
    alive.clear();
    controller.sweep();
    expect(share()).toBeLessThan(0.3 * whole);
    alive.add('host-2').add('host-3').add('host-4');
    controller.sweep();
    expect(share()).toBe(whole);
    await clock.advance(5_000);
    expect(share()).toBeLessThan(0.3 * whole);
  });

  it('sends nothing once other hosts have used up the limit', async () => {
    const { clock, controller, target, setLimit } = makeController();
    setLimit(2);
    await clock.advance(4_000);
    controller.sweep();
    const usage = { used: { [target.incarnationId]: 8 }, demand: { [target.incarnationId]: 1 } };
    controller.mergeHostReport(other, { ...reportOf(target.incarnationId, 2), usage });
    const taken = Array.from({ length: 50 }, () => controller.limits.tryAcquire(target));
    expect(taken).not.toContain(true);
  });
});
