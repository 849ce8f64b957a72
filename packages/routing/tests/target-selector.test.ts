import { describe, expect, it } from 'vitest';
import { NO_DISABLED_MECHANISMS, RegionPlacement, TargetSelector } from '../src/index.js';
import type { SelectionCriteria, TargetState } from '../src/index.js';
import { makeTargetRecord } from '@ferrylock/test-utils';
import { makeTargets, targetOf } from './fixtures.js';

const NOW = 1_000;
/** Processing time of a cache hit, and the additional time of a miss. */
const PROCESSING = 120;
const MISS_PENALTY = 50;
/** Round-trip time to a target in another region. */
const FAR = 40;
const REGIONS: Record<string, string> = {
  'aarhus-hal': 'jylland',
  'roskilde-hal': 'sjaelland',
  'odense-hal': 'fyn',
};

function makeCriteria(changes: Partial<SelectionCriteria> = {}): SelectionCriteria {
  return {
    key: 'object-1',
    homeRegions: [],
    tried: new Set(),
    maxLoadPerSlot: 1.5,
    prefersOwnRegion: false,
    processingMilliseconds: PROCESSING,
    missPenaltyMilliseconds: MISS_PENALTY,
    mayOverflow: true,
    ...changes,
  };
}

function makeSelector(
  targets: Map<string, TargetState>,
  { ownRegion = 'none', evacuated = '', unreachable = '' } = {},
): TargetSelector {
  const regionOf = (failureDomain: string): string => REGIONS[failureDomain] ?? failureDomain;
  const placement = new RegionPlacement({
    ownRegion,
    maxStepPerSecond: 1,
    disabledMechanisms: NO_DISABLED_MECHANISMS,
  });
  placement.update(capacitiesOf(targets, regionOf), NOW);
  const selector = new TargetSelector({
    ownRegion,
    regionOf,
    isEvacuated: (failureDomain) => failureDomain === evacuated,
    isReachable: ({ record }) => record.failureDomain !== unreachable,
    placement,
    roundTripMilliseconds: ({ record }) => (regionOf(record.failureDomain) === ownRegion ? 0 : FAR),
    disabledMechanisms: NO_DISABLED_MECHANISMS,
  });
  for (const target of targets.values()) {
    selector.add(target);
  }
  return selector;
}

/** Capacity of each region, with unknown demand. */
function capacitiesOf(
  targets: Map<string, TargetState>,
  regionOf: (failureDomain: string) => string,
) {
  const slots = new Map<string, number>();
  for (const { record } of targets.values()) {
    const region = regionOf(record.failureDomain);
    slots.set(region, (slots.get(region) ?? 0) + record.slots);
  }
  return [...slots].map(([region, count]) => ({ region, slots: count, work: undefined }));
}

const neverCold = (): boolean => false;

/** Targets of the key in order of preference, found by excluding each in turn. */
function rankingOf(selector: TargetSelector, count: number, key = 'object-1'): string[] {
  const tried = new Set<string>();
  for (let rank = 0; rank < count; rank++) {
    tried.add(selector.select(makeCriteria({ key, tried }), NOW, neverCold)?.id ?? '');
  }
  return [...tried];
}

describe('TargetSelector', () => {
  it('ranks the targets of a key the same on every entry host', () => {
    const one = makeSelector(makeTargets(20));
    const other = makeSelector(makeTargets(20));
    expect(rankingOf(one, 3)).toEqual(rankingOf(other, 3));
  });

  it('moves only the keys of a removed target', () => {
    const targets = makeTargets(20);
    const selector = makeSelector(targets);
    const keys = Array.from({ length: 200 }, (_, index) => `object-${index}`);
    const before = keys.map((key) => rankingOf(selector, 1, key)[0]);
    const lost = targets.get('target-7');
    if (lost === undefined) {
      throw new Error('expected the target to exist');
    }
    selector.remove(lost);
    const after = keys.map((key) => rankingOf(selector, 1, key)[0]);
    const moved = keys.filter((_, index) => before[index] !== after[index]);
    expect(moved).toEqual(keys.filter((_, index) => before[index] === 'target-7'));
    expect(moved.length).toBeGreaterThan(0);
  });

  it('skips a busy first target only if the wait exceeds the cost of a cache miss', () => {
    const targets = makeTargets(20);
    const selector = makeSelector(targets);
    const [first = '', second] = rankingOf(selector, 2);
    const busy = targetOf(targets, first);
    // Each request beyond the slots adds a sixth of the processing time.
    busy.inFlight = 7;
    expect((2 / 6) * PROCESSING).toBeLessThan(MISS_PENALTY);
    expect(selector.select(makeCriteria(), NOW, neverCold)?.id).toBe(first);
    busy.inFlight = 8;
    expect((3 / 6) * PROCESSING).toBeGreaterThan(MISS_PENALTY);
    expect(selector.select(makeCriteria(), NOW, neverCold)?.id).toBe(second);
  });

  it('prefers a second target with the object cached over a busy first one', () => {
    const targets = makeTargets(20);
    const selector = makeSelector(targets);
    const [first = '', second = ''] = rankingOf(selector, 2);
    targetOf(targets, second).recordResponse('object-1', NOW);
    targetOf(targets, first).inFlight = 5;
    expect(selector.select(makeCriteria(), NOW, neverCold)?.id).toBe(first);
    targetOf(targets, first).inFlight = 6;
    expect(selector.select(makeCriteria(), NOW, neverCold)?.id).toBe(second);
    expect(selector.select(makeCriteria(), NOW + 60_000, neverCold)?.id).toBe(first);
  });

  it('counts the in-flight requests of peers', () => {
    const targets = makeTargets(20);
    const selector = makeSelector(targets);
    const [first = '', second] = rankingOf(selector, 2);
    targetOf(targets, first).inFlight = 4;
    targetOf(targets, first).peersInFlight.set('other-host', 4);
    expect(selector.select(makeCriteria(), NOW, neverCold)?.id).toBe(second);
  });

  it('sends a cache miss to a second target only while half of its slots are free', () => {
    const targets = makeTargets(20);
    const selector = makeSelector(targets);
    const [first = '', second = ''] = rankingOf(selector, 2);
    targetOf(targets, first).inFlight = 8;
    targetOf(targets, second).inFlight = 2;
    expect(selector.select(makeCriteria(), NOW, neverCold)?.id).toBe(second);
    targetOf(targets, second).inFlight = 3;
    expect(selector.select(makeCriteria(), NOW, neverCold)?.id).toBe(first);
    targetOf(targets, first).inFlight = 9;
    expect(selector.select(makeCriteria(), NOW, neverCold)).toBeUndefined();
  });

  it('presumes a high miss penalty until it is known', () => {
    const targets = makeTargets(20);
    const selector = makeSelector(targets);
    const [first = ''] = rankingOf(selector, 1);
    const criteria = makeCriteria({ missPenaltyMilliseconds: undefined });
    targetOf(targets, first).inFlight = 8;
    expect(selector.select(criteria, NOW, neverCold)?.id).toBe(first);
  });

  it('uses no more than two targets of a region for a key', () => {
    const targets = makeTargets(20);
    const selector = makeSelector(targets);
    for (const id of rankingOf(selector, 2)) {
      targetOf(targets, id).inFlight = 12;
    }
    expect(selector.select(makeCriteria(), NOW, neverCold)).toBeUndefined();
  });

  it('selects none if every target is at its maximum load', () => {
    const targets = makeTargets(6);
    for (const target of targets.values()) {
      target.inFlight = 9;
    }
    const selector = makeSelector(targets);
    expect(selector.select(makeCriteria({ maxLoadPerSlot: 1.5 }), NOW, neverCold)).toBeUndefined();
    expect(selector.select(makeCriteria({ maxLoadPerSlot: 1.6 }), NOW, neverCold)).toBeDefined();
  });

  it('serves every key locally if the region has the capacity', () => {
    const targets = makeTargets(30, Object.keys(REGIONS));
    const selector = makeSelector(targets, { ownRegion: 'fyn' });
    for (let index = 0; index < 50; index++) {
      const target = selector.select(makeCriteria({ key: `object-${index}` }), NOW, neverCold);
      expect(target?.record.failureDomain).toBe('odense-hal');
    }
  });

  it('overflows to another region with the object cached if the wait exceeds the round trip', () => {
    const targets = makeTargets(30, Object.keys(REGIONS));
    const selector = makeSelector(targets, { ownRegion: 'fyn' });
    const regionOf = () => selector.select(makeCriteria(), NOW, neverCold)?.record.failureDomain;
    const home = [...targets.values()].filter(
      ({ record }) => record.failureDomain === 'odense-hal',
    );
    for (const target of home) {
      target.inFlight = 7;
    }
    expect(regionOf()).toBe('odense-hal');
    for (const target of home) {
      target.inFlight = 8;
    }
    expect(regionOf()).not.toBe('odense-hal');
  });

  it('keeps uploads in the own region while it has capacity', () => {
    const targets = makeTargets(30, Object.keys(REGIONS));
    const selector = makeSelector(targets, { ownRegion: 'fyn' });
    const regionsOf = () =>
      Array.from({ length: 50 }, (_, index) => {
        const criteria = makeCriteria({ key: `object-${index}`, prefersOwnRegion: true });
        return selector.select(criteria, NOW, neverCold)?.record.failureDomain;
      });
    expect(new Set(regionsOf())).toEqual(new Set(['odense-hal']));
    for (const target of targets.values()) {
      target.inFlight = target.record.failureDomain === 'odense-hal' ? 12 : 0;
    }
    expect(regionsOf()).toHaveLength(50);
    expect(regionsOf()).not.toContain('odense-hal');
  });

  it('selects only from home regions', () => {
    const targets = makeTargets(30, Object.keys(REGIONS));
    const selector = makeSelector(targets);
    for (let index = 0; index < 100; index++) {
      const criteria = makeCriteria({ key: `object-${index}`, homeRegions: ['fyn'] });
      expect(selector.select(criteria, NOW, neverCold)?.record.failureDomain).toBe('odense-hal');
    }
  });

  it.each([
    ['leaving', (target: TargetState) => target.signals.recordLeaving()],
    ['ejected', (target: TargetState) => target.recordFailure(NOW)],
  ])('skips a target that is %s', (_state, change) => {
    const targets = makeTargets(20);
    const selector = makeSelector(targets);
    const [first = '', second] = rankingOf(selector, 2);
    change(targetOf(targets, first));
    expect(selector.select(makeCriteria(), NOW, neverCold)?.id).toBe(second);
  });

  it.each([
    ['evacuated', { evacuated: 'odense-hal' }],
    ['unreachable', { unreachable: 'odense-hal' }],
  ])('selects no target of a failure domain that is %s', (_state, domains) => {
    const targets = makeTargets(30, Object.keys(REGIONS));
    const selector = makeSelector(targets, domains);
    for (let index = 0; index < 100; index++) {
      const target = selector.select(makeCriteria({ key: `object-${index}` }), NOW, neverCold);
      expect(target?.record.failureDomain).not.toBe('odense-hal');
    }
  });

  // Guards against spending the time of each request on targets behind a broken path.
  it('selects none if all are unreachable, rather than any of them', () => {
    const targets = makeTargets(6, ['odense-hal']);
    const selector = makeSelector(targets, { unreachable: 'odense-hal' });
    for (const target of targets.values()) {
      target.recordFailure(NOW);
    }
    expect(selector.select(makeCriteria(), NOW, () => true)).toBeUndefined();
  });

  it('uses a cold target only if no other is eligible and the limiter admits it', () => {
    const targets = makeTargets(3);
    const selector = makeSelector(targets);
    const cold = targetOf(targets, 'target-1');
    cold.update(makeTargetRecord({ id: 'target-1', coldMilliseconds: 3_000 }), NOW);
    for (const target of targets.values()) {
      target.inFlight = target === cold ? 0 : 12;
    }
    expect(selector.select(makeCriteria(), NOW, neverCold)).toBeUndefined();
    expect(selector.select(makeCriteria(), NOW, () => true)?.id).toBe('target-1');
  });

  it('tries failing targets if there are no others', () => {
    const targets = makeTargets(1);
    targets.get('target-0')?.recordFailure(NOW);
    expect(makeSelector(targets).select(makeCriteria(), NOW, neverCold)?.id).toBe('target-0');
  });
});
