import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { VanishedTargets } from '../../src/routing/vanished-targets.js';

const DRAIN_MILLISECONDS = 2_000;
const NO_OUTAGE = -Infinity;

function makeVanished(): { clock: FakeClock; vanished: VanishedTargets } {
  const clock = new FakeClock();
  return { clock, vanished: new VanishedTargets({ clock, drainMilliseconds: DRAIN_MILLISECONDS }) };
}

describe('VanishedTargets', () => {
  it('removes a target that vanished without a drain before the drain time is over', async () => {
    const { clock, vanished } = makeVanished();
    vanished.add(['target-1'], 20, NO_OUTAGE);
    expect(vanished.removeExpired(NO_OUTAGE)).toEqual([]);
    await clock.advance(0.6 * DRAIN_MILLISECONDS);
    expect(vanished.removeExpired(NO_OUTAGE)).toEqual(['target-1']);
    expect(vanished.removeExpired(NO_OUTAGE)).toEqual([]);
  });

  it('keeps a target that registers again', async () => {
    const { clock, vanished } = makeVanished();
    vanished.add(['target-1'], 20, NO_OUTAGE);
    expect(vanished.remove('target-1')).toBe(true);
    await clock.advance(10_000);
    expect(vanished.removeExpired(NO_OUTAGE)).toEqual([]);
  });

  it('keeps targets that vanish during an outage of the store until two seconds after it', async () => {
    const { clock, vanished } = makeVanished();
    vanished.add(['target-1'], 20, Infinity);
    await clock.advance(30_000);
    expect(vanished.removeExpired(Infinity)).toEqual([]);
    const availableSince = clock.now();
    await clock.advance(2_000);
    expect(vanished.removeExpired(availableSince)).toEqual([]);
    await clock.advance(200);
    expect(vanished.removeExpired(availableSince)).toEqual(['target-1']);
  });

  it('keeps targets that vanish soon after an outage until two seconds after it', async () => {
    const { clock, vanished } = makeVanished();
    const availableSince = clock.now();
    await clock.advance(500);
    vanished.add(['target-1'], 20, availableSince);
    await clock.advance(1_500);
    expect(vanished.removeExpired(availableSince)).toEqual([]);
    await clock.advance(200);
    expect(vanished.removeExpired(availableSince)).toEqual(['target-1']);
  });

  it('removes targets that vanished before an outage, even after repeated outages', async () => {
    const { clock, vanished } = makeVanished();
    vanished.add(['target-1', 'target-2'], 20, NO_OUTAGE);
    await clock.advance(0.6 * DRAIN_MILLISECONDS);
    expect(vanished.removeExpired(Infinity)).toEqual(['target-1', 'target-2']);
    vanished.add(['target-3'], 20, NO_OUTAGE);
    await clock.advance(0.6 * DRAIN_MILLISECONDS);
    expect(vanished.removeExpired(clock.now())).toEqual(['target-3']);
  });

  it('suspects the store if most targets of a service vanish together', async () => {
    const { clock, vanished } = makeVanished();
    vanished.add(['a', 'b', 'c'], 5, NO_OUTAGE);
    await clock.advance(2_000);
    expect(vanished.removeExpired(NO_OUTAGE)).toEqual([]);
    await clock.advance(200);
    expect(vanished.removeExpired(NO_OUTAGE)).toEqual(['a', 'b', 'c']);
  });
});
