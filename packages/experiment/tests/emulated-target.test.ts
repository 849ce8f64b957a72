import { beforeEach, describe, expect, it } from 'vitest';
import { EmulatedTarget } from '../src/emulated-target.js';
import type { TargetWork } from '../src/emulated-target.js';
import { VirtualTime } from '../src/virtual-time.js';

describe('EmulatedTarget', () => {
  let time: VirtualTime;
  let target: EmulatedTarget;
  let ends: { key: string; at: number; wasKnown: boolean }[];

  beforeEach(() => {
    time = new VirtualTime();
    ends = [];
    target = new EmulatedTarget({
      id: 'target-1',
      service: 'lookups',
      region: 'north',
      slots: 1,
      holds: 2,
      queuePerSlot: 1,
      coldFactor: 2,
      time,
      draw: () => 0.5,
    });
  });

  function work(key: string): TargetWork {
    return {
      key,
      knownMilliseconds: 10,
      unknownMilliseconds: 30,
      onEnd: (wasKnown) => ends.push({ key, at: time.now(), wasKnown }),
    };
  }

  it('works on what comes one after the other, faster on what it holds', () => {
    expect(target.take(work('a'))).toBe(true);
    expect(target.take(work('a'))).toBe(true);
    expect(target.load).toBe(2);
    expect(target.take(work('a'))).toBe(false);
    time.run();
    expect(ends).toEqual([
      { key: 'a', at: 30, wasKnown: false },
      { key: 'a', at: 40, wasKnown: true },
    ]);
  });

  it('asks for rest from a load on, and only the host that it means', () => {
    const rest = { fromLoadPerSlot: 1, milliseconds: 3_000, host: 'host-4' };
    target.fault = { slowFactor: 1, refusedShare: 0, rest };
    expect(target.restFor('host-4')).toBeUndefined();
    target.take(work('a'));
    expect(target.restFor('host-4')).toBe(3_000);
    expect(target.restFor('host-5')).toBeUndefined();
    target.fault = { ...target.fault, rest: { ...rest, host: undefined } };
    expect(target.restFor('host-5')).toBe(3_000);
    target.repair();
    expect(target.restFor('host-4')).toBeUndefined();
  });

  it('forgets the object that was used longest ago', () => {
    for (const key of ['a', 'b', 'a', 'c', 'b']) {
      target.take(work(key));
      time.run();
    }
    expect(ends.map(({ wasKnown }) => wasKnown)).toEqual([false, false, true, false, false]);
  });

  it('knows nothing after a start, and is slow for a while', () => {
    target.take(work('a'));
    time.run();
    target.restart(1_000);
    target.take(work('a'));
    time.run();
    expect(ends[1]).toEqual({ key: 'a', at: 30 + 60, wasKnown: false });
  });

  it('begins what waits when work under way is given up', () => {
    const first = work('a');
    target.take(first);
    target.take(work('b'));
    target.cancel(first);
    time.run();
    expect(ends).toEqual([{ key: 'b', at: 30, wasKnown: false }]);
  });

  it('refuses the part that its fault says', () => {
    target.fault = { slowFactor: 1, refusedShare: 0.6 };
    expect(target.take(work('a'))).toBe(false);
    target.fault = { slowFactor: 1, refusedShare: 0.4 };
    expect(target.take(work('a'))).toBe(true);
  });
});
