import { describe, expect, it } from 'vitest';
import { NO_DISABLED_MECHANISMS, RegionPlacement, TargetSelector } from '../src/index.js';
import type { SelectionCriteria, TargetState } from '../src/index.js';
import { makeTargetRecord } from '@ferrylock/test-utils';
import { makeTargets, targetOf } from './fixtures.js';

const NOW = 1_000;
/** Time of work on a known object, and what is added on an unknown one. */
const WORK = 120;
const EXTRA = 50;
/** Way to a target of another region and back. */
const FAR = 40;
const REGIONS: Record<string, string> = {
  'aarhus-hal': 'jylland',
  'roskilde-hal': 'sjaelland',
  'odense-hal': 'fyn',
};

function makeDemand(changes: Partial<SelectionCriteria> = {}): SelectionCriteria {
  return {
    key: 'object-1',
    homeRegions: [],
    tried: new Set(),
    maxLoadPerSlot: 1.5,
    prefersOwnRegion: false,
    processingMilliseconds: WORK,
    missPenaltyMilliseconds: EXTRA,
    mayOverflow: true,
    ...changes,
  };
}

function makeChoice(
  targets: Map<string, TargetState>,
  { ownRegion = 'none', evacuated = '' } = {},
): TargetSelector {
  const regionOf = (failureDomain: string): string => REGIONS[failureDomain] ?? failureDomain;
  const placement = new RegionPlacement({
    ownRegion,
    maxStepPerSecond: 1,
    disabledMechanisms: NO_DISABLED_MECHANISMS,
  });
  placement.update(roomsOf(targets, regionOf), NOW);
  const choice = new TargetSelector({
    ownRegion,
    regionOf,
    isEvacuated: (failureDomain) => failureDomain === evacuated,
    placement,
    roundTripMilliseconds: ({ record }) => (regionOf(record.failureDomain) === ownRegion ? 0 : FAR),
    disabledMechanisms: NO_DISABLED_MECHANISMS,
  });
  for (const target of targets.values()) {
    choice.add(target);
  }
  return choice;
}

/** Each region’s slots; what callers ask for is not known. */
function roomsOf(targets: Map<string, TargetState>, regionOf: (failureDomain: string) => string) {
  const slots = new Map<string, number>();
  for (const { record } of targets.values()) {
    const region = regionOf(record.failureDomain);
    slots.set(region, (slots.get(region) ?? 0) + record.slots);
  }
  return [...slots].map(([region, count]) => ({ region, slots: count, work: undefined }));
}

const neverCold = (): boolean => false;

/** The key's targets in the order of preference, found by excluding each in turn. */
function orderOf(choice: TargetSelector, count: number, key = 'object-1'): string[] {
  const tried = new Set<string>();
  for (let rank = 0; rank < count; rank++) {
    tried.add(choice.select(makeDemand({ key, tried }), NOW, neverCold)?.id ?? '');
  }
  return [...tried];
}

describe('TargetChoice', () => {
  it('gives a key the same target at every entry host', () => {
    const one = makeChoice(makeTargets(20));
    const other = makeChoice(makeTargets(20));
    expect(orderOf(one, 3)).toEqual(orderOf(other, 3));
  });

  it('moves only the keys of a target that is lost', () => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    const keys = Array.from({ length: 200 }, (_, index) => `object-${index}`);
    const before = keys.map((key) => orderOf(choice, 1, key)[0]);
    const lost = targets.get('target-7');
    if (lost === undefined) {
      throw new Error('expected the target to be there');
    }
    choice.remove(lost);
    const after = keys.map((key) => orderOf(choice, 1, key)[0]);
    const moved = keys.filter((_, index) => before[index] !== after[index]);
    expect(moved).toEqual(keys.filter((_, index) => before[index] === 'target-7'));
    expect(moved.length).toBeGreaterThan(0);
  });

  it('passes a busy first target over only when the wait costs more than work on an unknown object', () => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    const [first = '', second] = orderOf(choice, 2);
    const busy = targetOf(targets, first);
    // One more waits for a sixth of the work for each request over the slots.
    busy.inFlight = 7;
    expect((2 / 6) * WORK).toBeLessThan(EXTRA);
    expect(choice.select(makeDemand(), NOW, neverCold)?.id).toBe(first);
    busy.inFlight = 8;
    expect((3 / 6) * WORK).toBeGreaterThan(EXTRA);
    expect(choice.select(makeDemand(), NOW, neverCold)?.id).toBe(second);
  });

  it('passes a busy first target over at once for a second that knows the object', () => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    const [first = '', second = ''] = orderOf(choice, 2);
    targetOf(targets, second).recordResponse('object-1', NOW);
    targetOf(targets, first).inFlight = 5;
    expect(choice.select(makeDemand(), NOW, neverCold)?.id).toBe(first);
    targetOf(targets, first).inFlight = 6;
    expect(choice.select(makeDemand(), NOW, neverCold)?.id).toBe(second);
    expect(choice.select(makeDemand(), NOW + 60_000, neverCold)?.id).toBe(first);
  });

  it('counts what other entry hosts have at a target', () => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    const [first = '', second] = orderOf(choice, 2);
    targetOf(targets, first).inFlight = 4;
    targetOf(targets, first).peersInFlight.set('other-host', 4);
    expect(choice.select(makeDemand(), NOW, neverCold)?.id).toBe(second);
  });

  it('takes an unknown object to a second target only while half of its slots are free', () => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    const [first = '', second = ''] = orderOf(choice, 2);
    targetOf(targets, first).inFlight = 8;
    targetOf(targets, second).inFlight = 2;
    expect(choice.select(makeDemand(), NOW, neverCold)?.id).toBe(second);
    targetOf(targets, second).inFlight = 3;
    expect(choice.select(makeDemand(), NOW, neverCold)?.id).toBe(first);
    targetOf(targets, first).inFlight = 9;
    expect(choice.select(makeDemand(), NOW, neverCold)).toBeUndefined();
  });

  it('takes unknown objects for dear before any was seen', () => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    const [first = ''] = orderOf(choice, 1);
    const demand = makeDemand({ missPenaltyMilliseconds: undefined });
    targetOf(targets, first).inFlight = 8;
    expect(choice.select(demand, NOW, neverCold)?.id).toBe(first);
  });

  it('never goes beyond the two targets of a region that are to know the object', () => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    for (const id of orderOf(choice, 2)) {
      targetOf(targets, id).inFlight = 12;
    }
    expect(choice.select(makeDemand(), NOW, neverCold)).toBeUndefined();
  });

  it('chooses none where every target has as much as it may', () => {
    const targets = makeTargets(6);
    for (const target of targets.values()) {
      target.inFlight = 9;
    }
    const choice = makeChoice(targets);
    expect(choice.select(makeDemand({ maxLoadPerSlot: 1.5 }), NOW, neverCold)).toBeUndefined();
    expect(choice.select(makeDemand({ maxLoadPerSlot: 1.6 }), NOW, neverCold)).toBeDefined();
  });

  it('keeps every key in a region that can carry its callers', () => {
    const targets = makeTargets(30, Object.keys(REGIONS));
    const choice = makeChoice(targets, { ownRegion: 'fyn' });
    for (let index = 0; index < 50; index++) {
      const target = choice.select(makeDemand({ key: `object-${index}` }), NOW, neverCold);
      expect(target?.record.failureDomain).toBe('odense-hal');
    }
  });

  it('goes to another region that knows the object where the wait is longer than the way', () => {
    const targets = makeTargets(30, Object.keys(REGIONS));
    const choice = makeChoice(targets, { ownRegion: 'fyn' });
    const regionOf = () => choice.select(makeDemand(), NOW, neverCold)?.record.failureDomain;
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

  it('keeps large bodies in the own region while a target there has room', () => {
    const targets = makeTargets(30, Object.keys(REGIONS));
    const choice = makeChoice(targets, { ownRegion: 'fyn' });
    const regionsOf = () =>
      Array.from({ length: 50 }, (_, index) => {
        const demand = makeDemand({ key: `object-${index}`, prefersOwnRegion: true });
        return choice.select(demand, NOW, neverCold)?.record.failureDomain;
      });
    expect(new Set(regionsOf())).toEqual(new Set(['odense-hal']));
    for (const target of targets.values()) {
      target.inFlight = target.record.failureDomain === 'odense-hal' ? 12 : 0;
    }
    expect(regionsOf()).toHaveLength(50);
    expect(regionsOf()).not.toContain('odense-hal');
  });

  it('keeps to home regions', () => {
    const targets = makeTargets(30, Object.keys(REGIONS));
    const choice = makeChoice(targets);
    for (let index = 0; index < 100; index++) {
      const demand = makeDemand({ key: `object-${index}`, homeRegions: ['fyn'] });
      expect(choice.select(demand, NOW, neverCold)?.record.failureDomain).toBe('odense-hal');
    }
  });

  it.each([
    ['leaving', (target: TargetState) => target.signals.recordLeaving()],
    ['ejected', (target: TargetState) => target.recordFailure(NOW)],
  ])('passes a target over that is %s', (_state, change) => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    const [first = '', second] = orderOf(choice, 2);
    change(targetOf(targets, first));
    expect(choice.select(makeDemand(), NOW, neverCold)?.id).toBe(second);
  });

  it('sends nothing to a failure domain that is being emptied', () => {
    const targets = makeTargets(30, Object.keys(REGIONS));
    const choice = makeChoice(targets, { evacuated: 'odense-hal' });
    for (let index = 0; index < 100; index++) {
      const target = choice.select(makeDemand({ key: `object-${index}` }), NOW, neverCold);
      expect(target?.record.failureDomain).not.toBe('odense-hal');
    }
  });

  it('uses a cold target only where no other may take the request and the gate allows it', () => {
    const targets = makeTargets(3);
    const choice = makeChoice(targets);
    const cold = targetOf(targets, 'target-1');
    cold.update(makeTargetRecord({ id: 'target-1', coldMilliseconds: 3_000 }), NOW);
    for (const target of targets.values()) {
      target.inFlight = target === cold ? 0 : 12;
    }
    expect(choice.select(makeDemand(), NOW, neverCold)).toBeUndefined();
    expect(choice.select(makeDemand(), NOW, () => true)?.id).toBe('target-1');
  });

  it('tries failing targets where there are no others', () => {
    const targets = makeTargets(1);
    targets.get('target-0')?.recordFailure(NOW);
    expect(makeChoice(targets).select(makeDemand(), NOW, neverCold)?.id).toBe('target-0');
  });
});
