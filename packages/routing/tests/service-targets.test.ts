import { FakeClock, makeRoute, makeTargetRecord } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import {
  maxLoadPerSlot,
  NO_LIMITS,
  NO_DISABLED_MECHANISMS,
  OverflowBudget,
  ServiceTargets,
} from '../src/index.js';
import type { TargetState } from '../src/index.js';

const REGIONS: Record<string, string> = { 'aarhus-hal': 'jylland', 'odense-hal': 'fyn' };
const KEYS = Array.from({ length: 400 }, (_, index) => `object-${index}`);

function makeService(evacuated = '', unreachable: readonly string[] = []) {
  const clock = new FakeClock();
  const bound = { share: 0.15, windowMilliseconds: 2_000 };
  const overflows = new OverflowBudget({ clock, bound, ownName: 'host-1' });
  const service = new ServiceTargets('verdict-api', {
    clock,
    overflows,
    ownName: 'host-1',
    retryBudget: { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 },
    regionOf: (failureDomain) => REGIONS[failureDomain] ?? failureDomain,
    ownRegion: 'jylland',
    isEvacuated: (failureDomain) => failureDomain === evacuated,
    isReachable: ({ record }) => !unreachable.includes(record.failureDomain),
    regionShiftLimit: bound,
    limits: NO_LIMITS,
    disabledMechanisms: NO_DISABLED_MECHANISMS,
  });
  return { clock, service, overflows };
}

function addTargets(service: ServiceTargets, failureDomain: string, count: number): void {
  for (let index = 0; index < count; index++) {
    service.put(makeTargetRecord({ id: `${failureDomain}-${index}`, failureDomain }));
  }
}

function select(service: ServiceTargets, key: string): TargetState | undefined {
  return service.select({
    route: makeRoute(),
    key,
    tried: new Set(),
    lowestPriority: 0,
    ownName: 'host-1',
    coldSenders: ['host-1'],
  });
}

function homeShareOf(service: ServiceTargets): number {
  const near = KEYS.filter(
    (key) => select(service, key)?.record.failureDomain === 'aarhus-hal',
  ).length;
  return near / KEYS.length;
}

describe('ServiceTargets', () => {
  it.each([
    [[], [], 'all'],
    [['odense-hal'], [], 'some'],
    [['odense-hal'], ['jylland'], 'all'],
    [['odense-hal'], ['fyn'], 'none'],
    [['odense-hal', 'aarhus-hal'], [], 'none'],
  ])('tells which targets it reaches: without %j, homes %j', (unreachable, homeRegions, reach) => {
    const { service } = makeService('', unreachable);
    addTargets(service, 'aarhus-hal', 2);
    addTargets(service, 'odense-hal', 2);
    expect(service.reachOf({ homeRegions })).toBe(reach);
  });

  it('serves the share of keys locally that the slots of the region allow', () => {
    const { service } = makeService();
    addTargets(service, 'aarhus-hal', 2);
    addTargets(service, 'odense-hal', 6);
    expect(homeShareOf(service)).toBeCloseTo(0.5, 1);
  });

  it('serves more keys locally when the demand of the region is lower', async () => {
    const { service, clock } = makeService();
    addTargets(service, 'aarhus-hal', 2);
    addTargets(service, 'odense-hal', 6);
    const target = select(service, 'object-1');
    const response = { route: makeRoute(), key: 'object-1', milliseconds: 100, loadPerSlot: 0 };
    if (target !== undefined) {
      service.recordResponse(target, response);
    }
    for (let second = 0; second < 20; second++) {
      service.updatePlacement((region) => (region === 'jylland' ? 10 : 40));
      await clock.advance(1_000);
    }
    expect(homeShareOf(service)).toBe(1);
  });

  it('ignores the slots of an evacuated failure domain', () => {
    const { service } = makeService('aarhus-hal');
    addTargets(service, 'aarhus-hal', 4);
    addTargets(service, 'odense-hal', 4);
    service.updatePlacement(() => undefined);
    expect(homeShareOf(service)).toBe(0);
  });

  it('uses cold targets when there are no others', async () => {
    const { service, clock } = makeService();
    const record = { id: 'cold', failureDomain: 'odense-hal', coldMilliseconds: 3_000 };
    service.put(makeTargetRecord(record));
    service.updatePlacement(() => 10);
    await clock.advance(1_000);
    expect(select(service, 'object-1')?.id).toBe('cold');
  });

  it('does not count uploads served in the region of their caller as overflow', () => {
    const { service, overflows } = makeService();
    addTargets(service, 'aarhus-hal', 1);
    addTargets(service, 'odense-hal', 9);
    const route = makeRoute({ kind: 'upload' });
    for (const key of KEYS) {
      service.select({
        route,
        key,
        tried: new Set(),
        lowestPriority: 0,
        ownName: 'host-1',
        coldSenders: ['host-1'],
      });
    }
    expect(overflows.hasRoom).toBe(true);
  });

  it('serves uploads in the region of their caller only up to its capacity', () => {
    const { service } = makeService();
    addTargets(service, 'aarhus-hal', 1);
    addTargets(service, 'odense-hal', 9);
    const chosen = KEYS.map((key) =>
      service.select({
        route: makeRoute({ kind: 'upload' }),
        key,
        tried: new Set(),
        lowestPriority: 0,
        ownName: 'host-1',
        coldSenders: ['host-1'],
      }),
    );
    const near = chosen.filter((target) => target?.record.failureDomain === 'aarhus-hal').length;
    // A tenth of the slots carries a fifth of the keys evenly, and at most 1.7 times that.
    expect(near / KEYS.length).toBeGreaterThan(0.2);
    expect(near / KEYS.length).toBeLessThan(0.45);
  });

  it('estimates the time in which a full target works off its backlog', () => {
    const { service } = makeService();
    addTargets(service, 'aarhus-hal', 2);
    const route = makeRoute();
    expect(service.backlogMilliseconds(route, 0)).toBeUndefined();
    const target = select(service, 'object-1');
    if (target === undefined) {
      throw new Error('expected a target');
    }
    service.recordResponse(target, { route, key: 'object-1', milliseconds: 100, loadPerSlot: 0 });
    const max = maxLoadPerSlot({ route, processingMilliseconds: 100, lowestPriority: 0 });
    expect(service.backlogMilliseconds(route, 0)).toBeCloseTo(100 * max);
  });
});

describe('new incarnation of a target with the same id', () => {
  const first = makeTargetRecord({ bornAt: 1_000, sequence: 900 });

  function setUpFirst() {
    const { clock, service } = makeService();
    service.put(first);
    const target = service.targets.get(first.id);
    if (target === undefined) {
      throw new Error('target not found');
    }
    return { clock, service, target };
  }

  it('inherits no state of the previous one', () => {
    const { clock, service, target } = setUpFirst();
    const now = clock.now();
    target.signals.recordLeaving();
    target.inFlight = 4;
    target.peersInFlight.set('host-2', 3);
    target.recordLoad({ running: 9, waiting: 0 }, now);
    target.recordFailure(now);
    target.recordResponse('object-1', now);
    expect(service.put({ ...first, bornAt: 2_000, sequence: 1 })).toBe('reborn');
    const next = service.targets.get(first.id);
    expect(next?.incarnationId).not.toBe(target.incarnationId);
    expect(next?.leaving).toBe(false);
    expect(next?.load(now)).toBe(0);
    expect(next?.isEjected(now)).toBe(false);
    expect(next?.hasCached('object-1', now)).toBe(false);
    expect(select(service, 'object-1')).toBe(next);
  });

  it('is cold from the start', () => {
    const { service } = setUpFirst();
    service.put({ ...first, bornAt: 2_000, sequence: 1, coldMilliseconds: 3_000 });
    expect(select(service, 'object-1')?.isCold(0)).toBe(true);
  });

  it.each([
    ['an earlier incarnation', { bornAt: 999, sequence: 5_000 }],
    ['the same incarnation, written earlier', { sequence: 899 }],
  ])('treats a record of %s as stale', (_case, changes) => {
    const { service } = setUpFirst();
    expect(service.isStale({ ...first, ...changes, state: 'draining' })).toBe(true);
  });

  it.each([
    ['a later incarnation', { bornAt: 1_001, sequence: 1 }],
    ['the same incarnation, written later', { sequence: 901 }],
    ['the same incarnation, written at the same time', {}],
    ['another target', { id: 'target-2', bornAt: 1 }],
  ])('does not treat a record of %s as stale', (_case, changes) => {
    const { service } = setUpFirst();
    expect(service.isStale({ ...first, ...changes })).toBe(false);
  });

  it('keeps its rank for each key, so that keys do not move', () => {
    const { service } = makeService();
    addTargets(service, 'aarhus-hal', 8);
    const before = KEYS.map((key) => select(service, key)?.id);
    for (const { record } of [...service.targets.values()]) {
      service.put({ ...record, bornAt: 2_000 });
    }
    expect(KEYS.map((key) => select(service, key)?.id)).toEqual(before);
  });

  it('is not detected if targets do not report their start time', () => {
    const { service } = makeService();
    service.put(makeTargetRecord());
    expect(service.put(makeTargetRecord({ sequence: 1 }))).toBe('updated');
  });

  it('stays draining when an older record returns after its removal', () => {
    const { service } = makeService();
    const incarnation = { id: 'i-1', bornAt: 1_000 };
    service.put(makeTargetRecord({ ...incarnation, sequence: 5 }));
    service.put(makeTargetRecord({ ...incarnation, sequence: 9, state: 'draining' }));
    service.remove('i-1');
    service.put(makeTargetRecord({ ...incarnation, sequence: 5 }));
    expect(service.targets.get('i-1')?.leaving).toBe(true);
    expect(select(service, 'object-1')).toBeUndefined();
    service.put(makeTargetRecord({ ...incarnation, bornAt: 2_000 }));
    expect(service.targets.get('i-1')?.leaving).toBe(false);
  });
});
