import { FakeClock } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { captureEvents } from './fixtures.js';
import { RegionOverflow } from '../src/region-overflow.js';
import type { RegionLoad } from '../src/region-overflow.js';

const SHIFT_LIMIT = { share: 0.15, windowMilliseconds: 2_000 };
const SHORT: RegionLoad = { own: 0.95, others: 0.2, lacksHosts: false };
const RELAXED: RegionLoad = { own: 0.4, others: 0.3, lacksHosts: false };
/** Answers of a directory host in a second. */
const ANSWERS_PER_SECOND = 40;

function makeOverflow() {
  const clock = new FakeClock();
  const overflow = new RegionOverflow({
    clock,
    events: captureEvents().log,
    shiftLimit: SHIFT_LIMIT,
  });
  /** Share of the answers in some seconds that name hosts of other regions. */
  const answer = async (load: RegionLoad, seconds: number): Promise<number> => {
    let elsewhere = 0;
    const count = Math.round(ANSWERS_PER_SECOND * seconds);
    for (let index = 0; index < count; index++) {
      await clock.advance(1_000 / ANSWERS_PER_SECOND);
      elsewhere += Number(overflow.leadsAway('fyn', `10.0.0.${index}`, () => load));
    }
    return elsewhere / count;
  };
  return { clock, overflow, answer };
}

describe('RegionOverflow', () => {
  it('leads no caller away while the hosts of the region have time', async () => {
    const { answer, overflow } = makeOverflow();
    expect(await answer(RELAXED, 20)).toBe(0);
    expect(await answer({ ...RELAXED, own: 0.8 }, 20)).toBe(0);
    expect(overflow.shares.size).toBe(0);
  });

  it('leads callers away in steps and back in steps', async () => {
    const { answer, overflow } = makeOverflow();
    await answer(SHORT, 12);
    const away = overflow.shares.get('fyn') ?? 0;
    expect(away).toBeGreaterThan(0.25);
    expect(away).toBeLessThan(0.35);
    expect(await answer({ ...SHORT, own: 0.75 }, 5)).toBeCloseTo(away, 1);
    await answer(RELAXED, 13);
    expect(overflow.shares.size).toBe(0);
  });

  it('does so faster while hosts of the region are missing', async () => {
    const { answer, overflow } = makeOverflow();
    await answer({ ...SHORT, lacksHosts: true }, 3);
    expect(overflow.shares.get('fyn')).toBeGreaterThan(0.35);
  });

  it.each([
    ['have no room', { own: 1, others: 0.7, lacksHosts: false }],
    ['tell nothing', { own: 1, others: undefined, lacksHosts: false }],
    ['are full', { own: 1, others: 0.9, lacksHosts: false }],
  ])('leads none away while the others %s', async (_, load) => {
    const { answer } = makeOverflow();
    expect(await answer(load, 10)).toBe(0);
  });

  it('leads none away for a region whose hosts tell nothing', async () => {
    const { answer } = makeOverflow();
    expect(await answer({ own: undefined, others: 0.1, lacksHosts: false }, 10)).toBe(0);
  });

  it('leaves a part of the callers to the hosts of the region', async () => {
    const { answer, overflow } = makeOverflow();
    await answer(SHORT, 60);
    expect(overflow.shares.get('fyn')).toBeCloseTo(0.8, 5);
  });

  // Guards against moving more callers at once than the limit on shifts allows (SHIFT).
  it.each([1, 2, 3, 4, 5])('keeps within the limit on shifts, seed %i', async (seed) => {
    const random = new SeededRandom(seed);
    const clock = new FakeClock();
    const hosts = [0, 1, 2].map(
      () => new RegionOverflow({ clock, events: captureEvents().log, shiftLimit: SHIFT_LIMIT }),
    );
    const callers = Array.from({ length: 75 }, (_, index) => ({
      address: `10.${seed}.0.${index}`,
      asksAt: random.next() * 2_000,
      away: false,
    }));
    const shares: number[] = [];
    for (let now = 0; now < 60_000; now += 50) {
      const own = now % 30_000 < 12_000 ? 0.9 + 0.1 * random.next() : 0.5 * random.next();
      for (const caller of callers.filter(({ asksAt }) => asksAt <= now)) {
        const host = hosts[Math.floor(random.next() * hosts.length)];
        caller.away =
          host?.leadsAway('fyn', caller.address, () => ({
            own,
            others: 0.2,
            lacksHosts: false,
          })) === true;
        caller.asksAt = now + (random.next() < 0.2 ? 6_000 : 2_000);
      }
      shares.push(callers.filter(({ away }) => away).length / callers.length);
      await clock.advance(50);
    }
    const windows = shares.flatMap((_, index) =>
      index % 40 === 0 ? [shares.slice(index, index + 40).reduce((a, b) => a + b, 0) / 40] : [],
    );
    for (const [index, share] of windows.entries()) {
      expect(Math.abs(share - (windows[index - 1] ?? share))).toBeLessThanOrEqual(0.15);
    }
    expect(Math.max(...windows)).toBeGreaterThan(0.2);
  });
});
