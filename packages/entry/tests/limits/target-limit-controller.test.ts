import { TargetState } from '@ferrylock/routing';
import { NO_DISABLED_MECHANISMS } from '@ferrylock/routing';
import { FakeClock, makeTargetRecord } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { TargetLimitController } from '../../src/limits/target-limit-controller.js';
import type { ReportedLimits } from '../../src/peers/limit-rows.js';
import { captureEvents, makeHostRecord } from '../fixtures.js';

const HOSTS = 4;

/** `host-1` of four, which hears those that are named. */
function makeDuty(heard = new Set(['host-2', 'host-3', 'host-4'])) {
  const clock = new FakeClock();
  const { log, events } = captureEvents();
  const names = Array.from({ length: HOSTS }, (_, index) => `host-${index + 1}`);
  const records = names.map((name) => makeHostRecord({ name }));
  const target = new TargetState(makeTargetRecord({ bornAt: 1 }), 0);
  const news = { count: 0 };
  const duty = new TargetLimitController({
    clock,
    random: new SeededRandom(1),
    events: log,
    ownName: 'host-1',
    disabledMechanisms: NO_DISABLED_MECHANISMS,
    hosts: () => records,
    hostNames: () => names,
    isAlive: ({ name }) => heard.has(name),
    targetOfStart: (start) => (start === target.incarnationId ? target : undefined),
    onUpdate: () => {
      news.count++;
    },
  });
  const name = (perSecond: number | undefined): void => {
    target.signals.limit.record(perSecond, { sentAt: clock.now(), now: clock.now() });
    duty.recordLimitChange(target);
  };
  return { clock, duty, target, events, news, name, heard };
}

function told(start: string, perSecond: number | undefined, ageMilliseconds = 100): ReportedLimits {
  return {
    usage: { used: { [start]: 1 }, demand: { [start]: 2 } },
    limits: new Map([[start, { perSecond, ageMilliseconds }]]),
  };
}

const other = { name: 'host-2', incarnation: 'first' };

describe('LimitDuty', () => {
  it('tells nothing, and takes nothing up, while no target names a limit', () => {
    const { duty } = makeDuty();
    duty.beginReport(1);
    expect(duty.buildReport().limits.size).toBe(0);
    duty.mergeHostReport(other, undefined);
    expect(duty.hasReport(other)).toBe(false);
  });

  it('has what one host heard count at all, once, and passes it on at once', () => {
    const { duty, target, events, news } = makeDuty();
    duty.mergeHostReport(other, told(target.incarnationId, 2.5));
    duty.mergeHostReport(other, told(target.incarnationId, 2.5));
    expect(target.signals.limit.perSecond).toBe(2.5);
    expect(news.count).toBe(1);
    expect(events).toMatchObject([{ event: 'target', state: 'limited', target: target.id }]);
    expect(duty.hasReport(other)).toBe(true);
    duty.beginReport(1);
    expect([...duty.buildReport().limits]).toEqual([
      [target.incarnationId, { perSecond: 2.5, ageMilliseconds: 100 }],
    ]);
  });

  it('makes nothing of a start that it does not know', () => {
    const { duty, target } = makeDuty();
    duty.mergeHostReport(other, told('another~1', 2.5));
    expect(target.signals.limit.perSecond).toBeUndefined();
    expect(duty.buildReport().limits.size).toBe(0);
  });

  it('tells that a limit is lifted, for a while', async () => {
    const { clock, duty, target, name } = makeDuty();
    name(2.5);
    await clock.advance(1_000);
    name(undefined);
    duty.beginReport(1);
    expect(duty.buildReport().limits.get(target.incarnationId)).toEqual({
      perSecond: undefined,
      ageMilliseconds: 0,
    });
    await clock.advance(10_001);
    duty.sweep();
    expect(duty.buildReport().limits.size).toBe(0);
  });

  it('does not take a lifted limit up again by what an older word says', async () => {
    const { clock, duty, target, name } = makeDuty();
    name(2.5);
    await clock.advance(1_000);
    name(undefined);
    duty.mergeHostReport(other, told(target.incarnationId, 2.5, 900));
    expect(target.signals.limit.perSecond).toBeUndefined();
  });

  it('counts with as much of a limit as it hears of the hosts, less after it was suspended', async () => {
    const { clock, duty, target, name, heard } = makeDuty();
    name(8);
    const part = (): number => duty.limits.usageOf(target)?.partPerSecond ?? 0;
    const whole = part();
    heard.clear();
    duty.sweep();
    expect(part()).toBeLessThan(0.3 * whole);
    heard.add('host-2').add('host-3').add('host-4');
    duty.sweep();
    expect(part()).toBe(whole);
    await clock.advance(5_000);
    expect(part()).toBeLessThan(0.3 * whole);
  });

  it('sends nothing more once others are told to have used it up', async () => {
    const { clock, duty, target, name } = makeDuty();
    name(2);
    await clock.advance(4_000);
    duty.sweep();
    const usage = { used: { [target.incarnationId]: 8 }, demand: { [target.incarnationId]: 1 } };
    duty.mergeHostReport(other, { ...told(target.incarnationId, 2), usage });
    const taken = Array.from({ length: 50 }, () => duty.limits.tryAcquire(target));
    expect(taken).not.toContain(true);
  });
});
