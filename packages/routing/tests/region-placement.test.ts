import { describe, expect, it } from 'vitest';
import { NO_DISABLED_MECHANISMS, RegionPlacement } from '../src/index.js';
import type { DisabledMechanisms, RegionCapacity } from '../src/index.js';

const KEYS = Array.from({ length: 2_000 }, (_, index) => `object-${index}`);
interface Options {
  readonly mostStepPerSecond: number;
  readonly leftOut: DisabledMechanisms;
}

/** Regions with unequal slots and equal demand. */
const UNEQUAL: readonly RegionCapacity[] = [
  { region: 'small', slots: 10, work: undefined },
  { region: 'middle', slots: 40, work: undefined },
  { region: 'large', slots: 50, work: undefined },
];
/** Time by which the shares have settled. */
const SETTLED = 5_000;

function makePlacement(
  ownRegion: string,
  { mostStepPerSecond = 0.05, leftOut = NO_DISABLED_MECHANISMS }: Partial<Options> = {},
): RegionPlacement {
  return new RegionPlacement({
    ownRegion,
    maxStepPerSecond: mostStepPerSecond,
    disabledMechanisms: leftOut,
  });
}

function withWork(work: Readonly<Record<string, number>>): RegionCapacity[] {
  return UNEQUAL.map((room) => ({ ...room, work: work[room.region] ?? 0 }));
}

function shareOf(placement: RegionPlacement, region: string): number {
  return KEYS.filter((key) => placement.regionOrder(key)[0] === region).length / KEYS.length;
}

describe('RegionPlacement', () => {
  it('presumes equal demand of all regions while it is unknown', () => {
    const placement = makePlacement('small');
    placement.update(UNEQUAL, 0);
    expect(placement.homeShare('small')).toBeCloseTo(0.3);
    expect(placement.homeShare('middle')).toBe(1);
    expect(placement.homeShare('large')).toBe(1);
  });

  it('distributes excess keys in proportion to the spare capacity of other regions', () => {
    const placement = makePlacement('small');
    placement.update(UNEQUAL, 0);
    expect(shareOf(placement, 'small')).toBeCloseTo(0.3, 1);
    expect(shareOf(placement, 'middle') / shareOf(placement, 'large')).toBeCloseTo(
      (40 - 100 / 3) / (50 - 100 / 3),
      1,
    );
  });

  it('ranks all regions once for each key, the same on all hosts of a region', () => {
    const [one, other] = [makePlacement('small'), makePlacement('small')];
    for (const placement of [one, other]) {
      placement.update(UNEQUAL, 0);
    }
    for (const key of KEYS.slice(0, 200)) {
      expect(one.regionOrder(key)).toEqual(other.regionOrder(key));
      expect([...one.regionOrder(key)].sort()).toEqual(['large', 'middle', 'small']);
    }
  });

  it('keeps all keys at home while targets are comfortable', () => {
    const placement = makePlacement('small');
    placement.update(withWork({ small: 4, middle: 15, large: 15 }), 0);
    expect(placement.homeShare('small')).toBe(1);
  });

  it('serves as many keys locally as its capacity allows', () => {
    const placement = makePlacement('small');
    placement.update(withWork({ small: 20, middle: 10, large: 10 }), 0);
    expect(placement.homeShare('small')).toBeCloseTo(5 / 20);
  });

  it('equalizes utilization when all regions are busy', () => {
    const placement = makePlacement('small');
    placement.update(withWork({ small: 30, middle: 30, large: 30 }), 0);
    expect(placement.homeShare('small')).toBeCloseTo((0.9 * 10) / 30);
    expect(placement.homeShare('large')).toBe(1);
  });

  it('limits the change per second once it has settled', () => {
    const placement = makePlacement('small', { mostStepPerSecond: 0.05 });
    placement.update(withWork({ small: 4, middle: 4, large: 4 }), 0);
    placement.update(withWork({ small: 4, middle: 4, large: 4 }), SETTLED);
    placement.update(withWork({ small: 20, middle: 4, large: 4 }), SETTLED + 1_000);
    expect(placement.homeShare('small')).toBeCloseTo(0.95);
    placement.update(withWork({ small: 20, middle: 4, large: 4 }), SETTLED + 2_000);
    expect(placement.homeShare('small')).toBeCloseTo(0.9);
  });

  it('moves few keys on small changes of demand', () => {
    const placement = makePlacement('small', { mostStepPerSecond: 1 });
    placement.update(withWork({ small: 20, middle: 20, large: 20 }), 0);
    const before = KEYS.map((key) => placement.regionOrder(key)[0]);
    placement.update(withWork({ small: 22, middle: 20, large: 20 }), 1_000);
    const moved = KEYS.filter((key, index) => placement.regionOrder(key)[0] !== before[index]);
    expect(moved.length / KEYS.length).toBeLessThan(0.06);
  });

  it('ranks a region without available targets last', () => {
    const placement = makePlacement('small');
    placement.update(UNEQUAL, 0);
    placement.update(
      UNEQUAL.map((room) => (room.region === 'small' ? { ...room, slots: 0 } : room)),
      1_000,
    );
    for (const key of KEYS.slice(0, 100)) {
      expect(placement.regionOrder(key)).toHaveLength(3);
      expect(placement.regionOrder(key)[2]).toBe('small');
    }
  });

  it('distributes keys over all regions by capacity if keys-at-home is disabled', () => {
    const placement = makePlacement('small', { leftOut: new Set(['keys-at-home']) });
    placement.update(UNEQUAL, 0);
    expect(shareOf(placement, 'small')).toBeCloseTo(0.1, 1);
    expect(shareOf(placement, 'large')).toBeCloseTo(0.5, 1);
  });
});
