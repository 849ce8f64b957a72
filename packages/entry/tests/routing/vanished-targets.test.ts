import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import type { StoreAbsence } from '../../src/fleet/store-health.js';
import { VanishedTargets } from '../../src/routing/vanished-targets.js';

const DRAIN_MILLISECONDS = 2_000;
const DRAINS = [500, 1_000, 2_000, 2_500, 3_500, 10_000];

function makeVanished(drainMilliseconds = DRAIN_MILLISECONDS) {
  const clock = new FakeClock();
  const state: { absence: StoreAbsence | undefined } = { absence: undefined };
  const vanished = new VanishedTargets({
    clock,
    drainMilliseconds,
    storeAbsence: () => state.absence,
  });
  const expire = (): string[] => vanished.removeExpired().map(({ id }) => id);
  return { clock, vanished, state, expire };
}

describe('VanishedTargets', () => {
  it('removes a target that vanished without a drain before the drain time is over', async () => {
    const { clock, vanished, expire } = makeVanished();
    expect(vanished.add(['target-1'], 20)).toBe(0.6 * DRAIN_MILLISECONDS);
    expect(expire()).toEqual([]);
    await clock.advance(0.6 * DRAIN_MILLISECONDS);
    expect(expire()).toEqual(['target-1']);
    expect(expire()).toEqual([]);
  });

  it('keeps a target that registers again', async () => {
    const { clock, vanished, expire } = makeVanished();
    vanished.add(['target-1'], 20);
    expect(vanished.remove('target-1')).toBe(true);
    await clock.advance(10_000);
    expect(expire()).toEqual([]);
  });

  it('keeps targets that vanish in an absence of the store until they have registered', async () => {
    const { clock, vanished, state, expire } = makeVanished();
    state.absence = { since: -2_000, until: Infinity };
    vanished.add(['target-1'], 20);
    await clock.advance(30_000);
    expect(expire()).toEqual([]);
    state.absence = { since: -2_000, until: clock.now() + 2_100 };
    await clock.advance(2_000);
    expect(expire()).toEqual([]);
    await clock.advance(200);
    expect(vanished.removeExpired()).toEqual([{ id: 'target-1', isDoubted: true }]);
  });

  it('keeps targets that vanish soon after an absence until targets have registered', async () => {
    const { clock, vanished, state, expire } = makeVanished();
    state.absence = { since: -2_000, until: clock.now() + 2_100 };
    await clock.advance(500);
    vanished.add(['target-1'], 20);
    await clock.advance(1_500);
    expect(expire()).toEqual([]);
    await clock.advance(200);
    expect(expire()).toEqual(['target-1']);
  });

  it('keeps targets of which the absence becomes known after their records vanished', async () => {
    const { clock, vanished, state, expire } = makeVanished();
    vanished.add(['target-1'], 20);
    await clock.advance(200);
    state.absence = { since: -2_000, until: 2_100 };
    expect(expire()).toEqual([]);
    await clock.advance(1_800);
    expect(expire()).toEqual([]);
    await clock.advance(100);
    expect(expire()).toEqual(['target-1']);
  });

  it('removes targets that vanished before an absence, even after repeated ones', async () => {
    const { clock, vanished, state, expire } = makeVanished();
    vanished.add(['target-1', 'target-2'], 20);
    await clock.advance(100);
    state.absence = { since: clock.now(), until: Infinity };
    await clock.advance(0.6 * DRAIN_MILLISECONDS - 100);
    expect(expire()).toEqual(['target-1', 'target-2']);
    state.absence = undefined;
    vanished.add(['target-3'], 20);
    await clock.advance(0.6 * DRAIN_MILLISECONDS);
    state.absence = { since: clock.now(), until: clock.now() + 2_100 };
    expect(expire()).toEqual(['target-3']);
  });

  it('uses targets of which most vanish together for longer than a single one', async () => {
    const { clock, vanished, expire } = makeVanished();
    vanished.add(['a', 'b', 'c'], 5);
    await clock.advance(DRAIN_MILLISECONDS - 501);
    expect(expire()).toEqual([]);
    await clock.advance(1);
    expect(expire()).toEqual(['a', 'b', 'c']);
  });

  // Guards against targets that leave without a word, and that are used when they have ended.
  it.each(DRAINS)('ends each use within the drain time of %d ms', async (drain) => {
    for (const [ids, targets] of [
      [['a'], 9],
      [['a', 'b', 'c'], 5],
      [['a', 'b', 'c', 'd'], 4],
    ] as const) {
      const { clock, vanished, expire } = makeVanished(drain);
      const milliseconds = vanished.add(ids, targets);
      expect(milliseconds).toBeLessThanOrEqual(Math.max(0, drain - 500));
      await clock.advance(milliseconds);
      expect(expire()).toEqual(ids);
    }
  });

  it.each(DRAINS)(
    'outlasts an absence of the store whatever the drain time, %d ms',
    async (drain) => {
      const { clock, vanished, state, expire } = makeVanished(drain);
      state.absence = { since: -1_600, until: 2_100 };
      vanished.add(['a', 'b'], 9);
      await clock.advance(2_099);
      expect(expire()).toEqual([]);
      await clock.advance(1);
      expect(expire()).toEqual(['a', 'b']);
    },
  );
});
