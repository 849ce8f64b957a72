import { TargetState } from '@ferrylock/routing';
import { NOTHING_LEFT_OUT } from '@ferrylock/routing';
import { FakeClock, makeTargetRecord } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { LimitDuty } from '../../src/limits/limit-duty.js';
import type { ToldLimits } from '../../src/peers/limit-rows.js';
import { keepEvents, makeHostRecord } from '../fixtures.js';

const HOSTS = 4;

/** `host-1` of four, which hears those that are named. */
function makeDuty(heard = new Set(['host-2', 'host-3', 'host-4'])) {
  const clock = new FakeClock();
  const { log, events } = keepEvents();
  const names = Array.from({ length: HOSTS }, (_, index) => `host-${index + 1}`);
  const records = names.map((name) => makeHostRecord({ name }));
  const target = new TargetState(makeTargetRecord({ bornAt: 1 }), 0);
  const news = { count: 0 };
  const duty = new LimitDuty({
    clock,
    random: new SeededRandom(1),
    events: log,
    ownName: 'host-1',
    leftOut: NOTHING_LEFT_OUT,
    hosts: () => records,
    hostNames: () => names,
    isHeard: ({ name }) => heard.has(name),
    targetOfStart: (start) => (start === target.start ? target : undefined),
    onNews: () => {
      news.count++;
    },
  });
  const name = (perSecond: number | undefined): void => {
    target.word.limit.record(perSecond, { sentAt: clock.now(), now: clock.now() });
    duty.recordWord(target);
  };
  return { clock, duty, target, events, news, name, heard };
}

function told(start: string, perSecond: number | undefined, ageMilliseconds = 100): ToldLimits {
  return {
    usage: { used: { [start]: 1 }, asked: { [start]: 2 } },
    words: new Map([[start, { perSecond, ageMilliseconds }]]),
  };
}

const other = { name: 'host-2', incarnation: 'first' };

describe('LimitDuty', () => {
  it('tells nothing, and takes nothing up, while no target names a limit', () => {
    const { duty } = makeDuty();
    duty.next(1);
    expect(duty.tell().words.size).toBe(0);
    duty.takeHost(other, undefined);
    expect(duty.isTold(other)).toBe(false);
  });

  it('has what one host heard count at all, once, and passes it on at once', () => {
    const { duty, target, events, news } = makeDuty();
    duty.takeHost(other, told(target.start, 2.5));
    duty.takeHost(other, told(target.start, 2.5));
    expect(target.word.limit.perSecond).toBe(2.5);
    expect(news.count).toBe(1);
    expect(events).toMatchObject([{ event: 'target', state: 'limited', target: target.id }]);
    expect(duty.isTold(other)).toBe(true);
    duty.next(1);
    expect([...duty.tell().words]).toEqual([
      [target.start, { perSecond: 2.5, ageMilliseconds: 100 }],
    ]);
  });

  it('makes nothing of a start that it does not know', () => {
    const { duty, target } = makeDuty();
    duty.takeHost(other, told('another~1', 2.5));
    expect(target.word.limit.perSecond).toBeUndefined();
    expect(duty.tell().words.size).toBe(0);
  });

  it('tells that a limit is lifted, for a while', async () => {
    const { clock, duty, target, name } = makeDuty();
    name(2.5);
    await clock.advance(1_000);
    name(undefined);
    duty.next(1);
    expect(duty.tell().words.get(target.start)).toEqual({
      perSecond: undefined,
      ageMilliseconds: 0,
    });
    await clock.advance(10_001);
    duty.sweep();
    expect(duty.tell().words.size).toBe(0);
  });

  it('does not take a lifted limit up again by what an older word says', async () => {
    const { clock, duty, target, name } = makeDuty();
    name(2.5);
    await clock.advance(1_000);
    name(undefined);
    duty.takeHost(other, told(target.start, 2.5, 900));
    expect(target.word.limit.perSecond).toBeUndefined();
  });

  it('counts with as much of a limit as it hears of the hosts, less after it was suspended', async () => {
    const { clock, duty, target, name, heard } = makeDuty();
    name(8);
    const part = (): number => duty.limits.figuresOf(target)?.partPerSecond ?? 0;
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
    const usage = { used: { [target.start]: 8 }, asked: { [target.start]: 1 } };
    duty.takeHost(other, { ...told(target.start, 2), usage });
    const taken = Array.from({ length: 50 }, () => duty.limits.take(target));
    expect(taken).not.toContain(true);
  });
});
