import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { VanishedTargets } from '../../src/routing/vanished-targets.js';

const DRAIN = 2_000;
const NEVER_LOST = -Infinity;

function makeVanished(): { clock: FakeClock; vanished: VanishedTargets } {
  const clock = new FakeClock();
  return { clock, vanished: new VanishedTargets({ clock, drainMilliseconds: DRAIN }) };
}

describe('VanishedTargets', () => {
  it('drops a target that left without notice before the time that it serves on is over', async () => {
    const { clock, vanished } = makeVanished();
    vanished.add(['target-1'], 20, NEVER_LOST);
    expect(vanished.removeExpired(NEVER_LOST)).toEqual([]);
    await clock.advance(0.6 * DRAIN);
    expect(vanished.removeExpired(NEVER_LOST)).toEqual(['target-1']);
    expect(vanished.removeExpired(NEVER_LOST)).toEqual([]);
  });

  it('keeps a target that is recorded again', async () => {
    const { clock, vanished } = makeVanished();
    vanished.add(['target-1'], 20, NEVER_LOST);
    expect(vanished.remove('target-1')).toBe(true);
    await clock.advance(10_000);
    expect(vanished.removeExpired(NEVER_LOST)).toEqual([]);
  });

  it('keeps what vanishes while the store does not answer until two seconds after its return', async () => {
    const { clock, vanished } = makeVanished();
    vanished.add(['target-1'], 20, Infinity);
    await clock.advance(30_000);
    expect(vanished.removeExpired(Infinity)).toEqual([]);
    const returnedAt = clock.now();
    await clock.advance(2_000);
    expect(vanished.removeExpired(returnedAt)).toEqual([]);
    await clock.advance(200);
    expect(vanished.removeExpired(returnedAt)).toEqual(['target-1']);
  });

  it('keeps what vanishes soon after the store’s return until two seconds after it', async () => {
    const { clock, vanished } = makeVanished();
    const returnedAt = clock.now();
    await clock.advance(500);
    vanished.add(['target-1'], 20, returnedAt);
    await clock.advance(1_500);
    expect(vanished.removeExpired(returnedAt)).toEqual([]);
    await clock.advance(200);
    expect(vanished.removeExpired(returnedAt)).toEqual(['target-1']);
  });

  it('drops what vanished before the store was lost from sight, however often that happens', async () => {
    const { clock, vanished } = makeVanished();
    vanished.add(['target-1', 'target-2'], 20, NEVER_LOST);
    await clock.advance(0.6 * DRAIN);
    expect(vanished.removeExpired(Infinity)).toEqual(['target-1', 'target-2']);
    vanished.add(['target-3'], 20, NEVER_LOST);
    await clock.advance(0.6 * DRAIN);
    expect(vanished.removeExpired(clock.now())).toEqual(['target-3']);
  });

  it('doubts the store where most targets of a service vanish together', async () => {
    const { clock, vanished } = makeVanished();
    vanished.add(['a', 'b', 'c'], 5, NEVER_LOST);
    await clock.advance(2_000);
    expect(vanished.removeExpired(NEVER_LOST)).toEqual([]);
    await clock.advance(200);
    expect(vanished.removeExpired(NEVER_LOST)).toEqual(['a', 'b', 'c']);
  });
});
