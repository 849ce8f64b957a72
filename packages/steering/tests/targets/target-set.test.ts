import { declarationSchema } from '@ferrylock/schema';
import type { Declaration } from '@ferrylock/schema';
import { describe, expect, it } from 'vitest';
import { DistanceMap, TargetSet } from '../../src/index.js';

function makeDeclaration(targets: number, headroomPercent = 0): Declaration {
  const declared = Array.from({ length: targets }, (_, index) => [
    `t${index}`,
    { address: '127.0.0.1', port: 9_000 + index, slots: 8, failureDomain: 'd' },
  ]);
  return declarationSchema.parse({
    account: 'atec',
    failureDomains: { d: { region: 'r' } },
    services: { desk: { repeat: 'free', targets: Object.fromEntries(declared) as object } },
    headroom: { r: { region: 'r', percent: headroomPercent } },
  });
}

function makeSet(targets: number): TargetSet {
  const set = new TargetSet('atec', 'desk');
  const declaration = makeDeclaration(targets);
  set.update(declaration, [], new DistanceMap(declaration), 0);
  return set;
}

function openNames(set: TargetSet, now: number): string[] {
  return set.open(now).map((target) => target.name);
}

function fail(set: TargetSet, name: string, times: number, now: number): void {
  for (let time = 0; time < times; time++) {
    set.get(name)?.recordFailure(now);
  }
}

describe('TargetSet', () => {
  it('closes a target after three failures in a row, for a time that doubles', () => {
    const set = makeSet(4);
    fail(set, 't0', 2, 0);
    expect(openNames(set, 0)).toContain('t0');
    fail(set, 't0', 1, 0);
    expect(openNames(set, 1_999)).not.toContain('t0');
    expect(openNames(set, 2_000)).toContain('t0');
    fail(set, 't0', 3, 2_000);
    expect(openNames(set, 5_999)).not.toContain('t0');
    expect(openNames(set, 6_000)).toContain('t0');
  });

  it('does not count failures that an answer came between', () => {
    const set = makeSet(4);
    fail(set, 't0', 2, 0);
    set.get('t0')?.recordAnswer(5);
    fail(set, 't0', 2, 0);
    expect(openNames(set, 0)).toContain('t0');
  });

  it('doubts the signal when most targets look sick, and leaves none out', () => {
    const set = makeSet(4);
    ['t0', 't1'].forEach((name) => {
      fail(set, name, 3, 0);
    });
    expect(openNames(set, 0)).toEqual(['t2', 't3']);
    fail(set, 't2', 3, 0);
    expect(openNames(set, 0)).toHaveLength(4);
  });

  it('gives a target that comes back few slots at first, and all of them once it is warm', () => {
    const target = makeSet(4).get('t0');
    expect(target?.warmSlots(8)).toBe(8);
    target?.startCold(0);
    expect(target?.warmSlots(8)).toBe(2);
    for (let answer = 0; answer < 50; answer++) {
      target?.recordAnswer(5);
    }
    expect(target?.warmSlots(8)).toBe(8);
  });

  it('starts a target cold that joins later, and keeps what is known of the others', () => {
    const set = makeSet(2);
    set.get('t0')?.recordAnswer(5);
    const known = set.get('t0');
    const declaration = makeDeclaration(3);
    set.update(declaration, [], new DistanceMap(declaration), 10);
    expect(set.get('t0')).toBe(known);
    expect(set.get('t2')?.warmSlots(8)).toBe(2);
  });

  it('keeps the headroom of a region free, spread over its targets', () => {
    const set = new TargetSet('atec', 'desk');
    const declaration = makeDeclaration(4, 10);
    set.update(declaration, [], new DistanceMap(declaration), 0);
    const slots = set.all().map((target) => set.slotsOf(target.name));
    expect(slots.reduce((sum, each) => sum + each, 0)).toBe(32 - 4);
    expect(slots).toEqual([7, 7, 7, 7]);
  });
});
