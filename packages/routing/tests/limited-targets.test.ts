import { FakeClock, makeRoute, makeTargetRecord } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { NOTHING_LEFT_OUT, OverflowAllowance, ServiceTargets, TargetLimits } from '../src/index.js';
import type { SeekingRequest, TargetRecord } from '../src/index.js';

/**
 * Each way that leads to a target, with the targets of a service at the limit that they named. The host is alone, so that all of
 * a limit is its own; the figures do not matter here, since no way may lead past a limit that is used up.
 */
const REGIONS: Record<string, string> = { 'aarhus-hal': 'jylland', 'odense-hal': 'fyn' };
const KEYS = Array.from({ length: 200 }, (_, index) => `object-${index}`);
const BORN = 1_000;

function makeService() {
  const clock = new FakeClock();
  const bound = { share: 0.15, windowMilliseconds: 2_000 };
  const hosts = ['host-1'];
  const limits = new TargetLimits({
    clock,
    random: new SeededRandom(1),
    others: () => ({ used: 0, askedPerSecond: 0 }),
    fleet: () => ({ hosts, ownName: 'host-1', heardShare: 1 }),
    leftOut: NOTHING_LEFT_OUT,
  });
  const service = new ServiceTargets('verdict-api', {
    clock,
    overflows: new OverflowAllowance({ clock, bound, ownName: 'host-1' }),
    retryBound: { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 },
    regionOf: (failureDomain) => REGIONS[failureDomain] ?? failureDomain,
    ownRegion: 'jylland',
    isEvacuated: () => false,
    shiftBound: bound,
    limits,
    leftOut: NOTHING_LEFT_OUT,
  });
  return { clock, limits, service };
}

function put(service: ServiceTargets, id: string, changes: Partial<TargetRecord> = {}): void {
  service.put(makeTargetRecord({ id, bornAt: BORN, failureDomain: 'aarhus-hal', ...changes }));
}

/** The target names a limit of which nothing is left at first. */
function limit(service: ServiceTargets, id: string, perSecond = 1): void {
  service.targets.get(id)?.word.limit.record(perSecond, { sentAt: 0, now: 0 });
}

/** Names of targets that requests for all objects are sent to, at one moment. */
function reached(
  service: ServiceTargets,
  changes: Partial<SeekingRequest> = {},
): Set<string | undefined> {
  const chosen = KEYS.map((key) =>
    service.choose({
      route: makeRoute(),
      key,
      tried: new Set(),
      leastUrgent: 0,
      ownName: 'host-1',
      coldSenders: ['host-1'],
      ...changes,
    }),
  );
  return new Set(chosen.map((target) => target?.id));
}

describe('a target at the limit that it named', () => {
  it('is no first choice, and gets its part again once there is room', async () => {
    const { clock, service } = makeService();
    ['a', 'b', 'c'].forEach((id) => {
      put(service, id);
    });
    limit(service, 'a');
    expect(reached(service)).toEqual(new Set(['b', 'c']));
    await clock.advance(2_000);
    expect(reached(service)).toEqual(new Set(['a', 'b', 'c']));
    expect(reached(service)).toEqual(new Set(['b', 'c']));
  });

  it('is not retried at, nor tried where all others fail or are full', () => {
    const { clock, service } = makeService();
    ['a', 'b'].forEach((id) => {
      put(service, id);
    });
    limit(service, 'a');
    expect(reached(service, { tried: new Set(['b']) })).toEqual(new Set([undefined]));
    service.targets.get('b')?.recordFailure(clock.now());
    expect(reached(service)).toEqual(new Set(['b']));
    Object.assign(service.targets.get('b') ?? {}, { inFlight: 100 });
    expect(reached(service)).toEqual(new Set([undefined]));
  });

  it('is not used while it is cold, as little as its limit and its cap both allow', async () => {
    const { clock, service } = makeService();
    put(service, 'a', { coldMilliseconds: 60_000 });
    limit(service, 'a', 2);
    expect(reached(service)).toEqual(new Set([undefined]));
    await clock.advance(10_000);
    const sent = KEYS.filter((key) => reached(service, { key }).has('a')).length;
    expect(sent).toBeLessThanOrEqual(1);
  });

  it('gets no uploads that are to stay near, nor what overflows from another region', () => {
    const { service } = makeService();
    put(service, 'near');
    put(service, 'far', { failureDomain: 'odense-hal' });
    limit(service, 'near');
    const upload = { route: makeRoute({ kind: 'upload' }) };
    expect(reached(service, upload)).toEqual(new Set(['far']));
    limit(service, 'far');
    Object.assign(service.targets.get('near') ?? {}, { inFlight: 100 });
    expect(reached(service, upload)).toEqual(new Set([undefined]));
  });

  it('gets nothing in its rest either, and the time until it takes work is the later of both', () => {
    const { clock, service } = makeService();
    put(service, 'a');
    put(service, 'b');
    limit(service, 'a', 0.5);
    service.targets.get('a')?.word.recordRest(60_000, clock.now());
    expect(service.commonWait(makeRoute())).toBeUndefined();
    limit(service, 'b', 0.5);
    reached(service);
    const wait = service.commonWait(makeRoute());
    expect(wait).toMatchObject({ resting: ['a'], limited: ['b'] });
    expect(wait?.milliseconds).toBeLessThan(60_000);
    service.remove('b');
    expect(service.commonWait(makeRoute())?.milliseconds).toBe(60_000);
  });

  it('keeps its limit where its record goes and comes back, and a later start has none', () => {
    const { service } = makeService();
    put(service, 'a');
    limit(service, 'a');
    service.remove('a');
    put(service, 'a');
    expect(reached(service)).toEqual(new Set([undefined]));
    put(service, 'a', { bornAt: BORN + 1 });
    expect(reached(service)).toEqual(new Set(['a']));
  });

  it('is as any other once it names none', () => {
    const { service } = makeService();
    put(service, 'a');
    limit(service, 'a');
    reached(service);
    service.targets.get('a')?.word.limit.record(undefined, { sentAt: 1, now: 2 });
    expect(reached(service)).toEqual(new Set(['a']));
    expect(service.commonWait(makeRoute())).toBeUndefined();
  });
});

describe('TargetLimits', () => {
  it('tells nothing of targets that name no limit, and of others what is used and wanted', async () => {
    const { clock, limits, service } = makeService();
    put(service, 'a');
    put(service, 'b');
    reached(service);
    expect(limits.tell()).toEqual({ used: {}, asked: {} });
    limit(service, 'a', 5);
    reached(service);
    await clock.advance(1_000);
    reached(service);
    const { used, asked } = limits.tell();
    const [start = ''] = Object.keys(used);
    expect(start).toBe(service.targets.get('a')?.start);
    expect(Object.keys(asked)).toEqual([start]);
    expect(used[start]).toBeGreaterThan(0);
    expect(asked[start]).toBeGreaterThan(used[start] ?? 0);
  });
});
