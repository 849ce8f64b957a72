import { describe, expect, it } from 'vitest';
import { TargetChoice } from '../src/index.js';
import type { TargetDemand, TargetState } from '../src/index.js';
import { makeTargetRecord } from '@ferrylock/test-utils';
import { makeTargets, targetOf } from './fixtures.js';

const NOW = 1_000;
const REGIONS: Record<string, string> = {
  'aarhus-hal': 'jylland',
  'roskilde-hal': 'sjaelland',
  'odense-hal': 'fyn',
};

function makeDemand(changes: Partial<TargetDemand> = {}): TargetDemand {
  return {
    key: 'object-1',
    homeRegions: [],
    tried: new Set(),
    mostLoadPerSlot: 1.5,
    staysNear: false,
    prefersSecond: false,
    ...changes,
  };
}

function makeChoice(
  targets: Map<string, TargetState>,
  { ownRegion = 'none', evacuated = '' } = {},
): TargetChoice {
  return new TargetChoice(targets, {
    ownRegion,
    regionOf: (failureDomain) => REGIONS[failureDomain] ?? failureDomain,
    isEvacuated: (failureDomain) => failureDomain === evacuated,
  });
}

const neverCold = (): boolean => false;

/** The key's targets in the order of preference, found by excluding each in turn. */
function orderOf(choice: TargetChoice, count: number, key = 'object-1'): string[] {
  const tried = new Set<string>();
  for (let rank = 0; rank < count; rank++) {
    tried.add(choice.choose(makeDemand({ key, tried }), NOW, neverCold)?.id ?? '');
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
    targets.delete('target-7');
    choice.membersChanged();
    const after = keys.map((key) => orderOf(choice, 1, key)[0]);
    const moved = keys.filter((_, index) => before[index] !== after[index]);
    expect(moved).toEqual(keys.filter((_, index) => before[index] === 'target-7'));
    expect(moved.length).toBeGreaterThan(0);
  });

  it('passes a busy first target over for the second', () => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    const [first = '', second] = orderOf(choice, 2);
    targetOf(targets, first).inFlight = 6;
    expect(choice.choose(makeDemand(), NOW, neverCold)?.id).toBe(second);
  });

  it('counts what other entry hosts have at a target', () => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    const [first = '', second] = orderOf(choice, 2);
    targetOf(targets, first).othersInFlight.set('other-host', 6);
    expect(choice.choose(makeDemand(), NOW, neverCold)?.id).toBe(second);
  });

  it('queues at the key’s own targets rather than spilling to busy ones', () => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    const own = orderOf(choice, 3);
    for (const [id, target] of targets) {
      target.inFlight = own.includes(id) ? 7 : 4;
    }
    expect(own).toContain(choice.choose(makeDemand(), NOW, neverCold)?.id);
  });

  it('takes a target that worked on the object before one that did not', () => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    const order = orderOf(choice, 4);
    for (const target of targets.values()) {
      target.inFlight = 4;
    }
    for (const id of order.slice(0, 2)) {
      targetOf(targets, id).inFlight = 6;
    }
    const familiar = targetOf(targets, order[3] ?? '');
    familiar.recordAnswer('object-1', NOW);
    expect(choice.choose(makeDemand(), NOW, neverCold)?.id).toBe(familiar.id);
    expect(choice.choose(makeDemand(), NOW + 60_000, neverCold)?.id).not.toBe(familiar.id);
  });

  it('spills to a target that has little to do', () => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    const order = orderOf(choice, 4);
    for (const [id, target] of targets) {
      target.inFlight = id === order[3] ? 2 : 7;
    }
    expect(choice.choose(makeDemand(), NOW, neverCold)?.id).toBe(order[3]);
  });

  it('never goes beyond the few targets that hold the object', () => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    const own = orderOf(choice, 4);
    for (const id of own) {
      targetOf(targets, id).inFlight = 12;
    }
    expect(choice.choose(makeDemand(), NOW, neverCold)).toBeUndefined();
  });

  it('chooses none where every target has as much as it may', () => {
    const targets = makeTargets(6);
    for (const target of targets.values()) {
      target.inFlight = 9;
    }
    const choice = makeChoice(targets);
    expect(choice.choose(makeDemand({ mostLoadPerSlot: 1.5 }), NOW, neverCold)).toBeUndefined();
    expect(choice.choose(makeDemand({ mostLoadPerSlot: 1.6 }), NOW, neverCold)).toBeDefined();
  });

  it('prefers the nearer of a key’s targets', () => {
    const targets = makeTargets(30, Object.keys(REGIONS));
    const anywhere = orderOf(makeChoice(targets), 3);
    const choice = makeChoice(targets, { ownRegion: 'fyn' });
    const near = anywhere.find((id) => targets.get(id)?.record.failureDomain === 'odense-hal');
    expect(choice.choose(makeDemand(), NOW, neverCold)?.id).toBe(near ?? anywhere[0]);
  });

  it('keeps large bodies in the own region while a target there has room', () => {
    const targets = makeTargets(30, Object.keys(REGIONS));
    const choice = makeChoice(targets, { ownRegion: 'fyn' });
    const regionsOf = () =>
      Array.from({ length: 50 }, (_, index) => {
        const demand = makeDemand({ key: `object-${index}`, staysNear: true });
        return choice.choose(demand, NOW, neverCold)?.record.failureDomain;
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
      expect(choice.choose(demand, NOW, neverCold)?.record.failureDomain).toBe('odense-hal');
    }
  });

  it.each([
    ['leaving', (target: TargetState) => (target.leaving = true)],
    ['ejected', (target: TargetState) => target.recordFailure(NOW)],
  ])('passes a target over that is %s', (_state, change) => {
    const targets = makeTargets(20);
    const choice = makeChoice(targets);
    const [first = '', second] = orderOf(choice, 2);
    change(targetOf(targets, first));
    expect(choice.choose(makeDemand(), NOW, neverCold)?.id).toBe(second);
  });

  it('sends nothing to a failure domain that is being emptied', () => {
    const targets = makeTargets(30, Object.keys(REGIONS));
    const choice = makeChoice(targets, { evacuated: 'odense-hal' });
    for (let index = 0; index < 100; index++) {
      const target = choice.choose(makeDemand({ key: `object-${index}` }), NOW, neverCold);
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
    expect(choice.choose(makeDemand(), NOW, neverCold)).toBeUndefined();
    expect(choice.choose(makeDemand(), NOW, () => true)?.id).toBe('target-1');
  });

  it('tries failing targets where there are no others', () => {
    const targets = makeTargets(1);
    targets.get('target-0')?.recordFailure(NOW);
    expect(makeChoice(targets).choose(makeDemand(), NOW, neverCold)?.id).toBe('target-0');
  });
});
