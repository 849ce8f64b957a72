import { FakeClock, makeRoute } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { NO_DISABLED_MECHANISMS, TargetLimits } from '../src/index.js';
import type { ServiceTargets } from '../src/index.js';
import { START_TIME, makeService, put, selectedTargets } from './two-regions.js';

/**
 * Covers every path that could select a target at its advertised limit: none may exceed a limit
 * that is used up. There is one host, so the whole limit is its share.
 */
/** Steps at which all objects are requested. */
const STEPS = 40;
const STEP_MILLISECONDS = 250;

function makeLimitedService() {
  const clock = new FakeClock();
  const hosts = ['host-1'];
  const limits = new TargetLimits({
    clock,
    random: new SeededRandom(1),
    usageElsewhere: () => ({ used: 0, demandPerSecond: 0 }),
    fleet: () => ({ hosts, ownName: 'host-1', visibleHostShare: 1 }),
    disabledMechanisms: NO_DISABLED_MECHANISMS,
  });
  return { limits, ...makeService(clock, limits) };
}

/** Advertises a limit that has no capacity at first. */
function limit(service: ServiceTargets, id: string, perSecond = 1): void {
  service.targets.get(id)?.signals.limit.record(perSecond, { sentAt: 0, now: 0 });
}

describe('a target at its advertised limit', () => {
  it('is not selected first, and gets requests again once it has capacity', async () => {
    const { clock, service } = makeLimitedService();
    ['a', 'b', 'c'].forEach((id) => {
      put(service, id);
    });
    limit(service, 'a');
    expect(selectedTargets(service)).toEqual(new Set(['b', 'c']));
    await clock.advance(2_000);
    expect(selectedTargets(service)).toEqual(new Set(['a', 'b', 'c']));
    expect(selectedTargets(service)).toEqual(new Set(['b', 'c']));
  });

  it('is not retried, nor tried when all others fail or are full', () => {
    const { clock, service } = makeLimitedService();
    ['a', 'b'].forEach((id) => {
      put(service, id);
    });
    limit(service, 'a');
    expect(selectedTargets(service, { tried: new Set(['b']) })).toEqual(new Set([undefined]));
    service.targets.get('b')?.recordFailure(clock.now());
    expect(selectedTargets(service)).toEqual(new Set(['b']));
    Object.assign(service.targets.get('b') ?? {}, { inFlight: 100 });
    expect(selectedTargets(service)).toEqual(new Set([undefined]));
  });

  it.each([
    ['its cold-start rate', 1, 100, 1],
    ['its limit', 100, 1, 1],
  ])(
    'is bound by the stricter limit during its cold start: %s',
    async (_case, cap, advertised, max) => {
      const { clock, service } = makeLimitedService();
      put(service, 'a', { coldMilliseconds: 60_000 });
      service.settings = {
        name: 'verdict-api',
        healthPath: '/health',
        mostConnections: 390,
        coldMilliseconds: 60_000,
        coldRequestsPerSecond: cap,
      };
      limit(service, 'a', advertised);
      let steps = 0;
      for (let step = 0; step < STEPS; step++) {
        await clock.advance(STEP_MILLISECONDS);
        steps += Number(selectedTargets(service).has('a'));
      }
      const seconds = (STEPS * STEP_MILLISECONDS) / 1_000;
      expect(steps).toBeGreaterThan(0);
      expect(steps).toBeLessThanOrEqual(max * seconds + 1);
    },
  );

  it('gets no local uploads and no overflow from another region', () => {
    const { service } = makeLimitedService();
    put(service, 'near');
    put(service, 'far', { failureDomain: 'odense-hal' });
    limit(service, 'near');
    const upload = { route: makeRoute({ kind: 'upload' }) };
    expect(selectedTargets(service, upload)).toEqual(new Set(['far']));
    limit(service, 'far');
    Object.assign(service.targets.get('near') ?? {}, { inFlight: 100 });
    expect(selectedTargets(service, upload)).toEqual(new Set([undefined]));
  });

  it('gets nothing while resting, and is available after the later of rest and limit', () => {
    const { clock, service } = makeLimitedService();
    put(service, 'a');
    put(service, 'b');
    limit(service, 'a', 0.5);
    service.targets.get('a')?.signals.recordRest(60_000, clock.now());
    expect(service.earliestAvailability(makeRoute())).toBeUndefined();
    limit(service, 'b', 0.5);
    selectedTargets(service);
    const wait = service.earliestAvailability(makeRoute());
    expect(wait).toMatchObject({ resting: ['a'], limited: ['b'] });
    expect(wait?.milliseconds).toBeLessThan(60_000);
    service.remove('b');
    expect(service.earliestAvailability(makeRoute())?.milliseconds).toBe(60_000);
  });

  it('keeps its limit when its record disappears and returns, unlike a later incarnation', () => {
    const { service } = makeLimitedService();
    put(service, 'a');
    limit(service, 'a');
    service.remove('a');
    put(service, 'a');
    expect(selectedTargets(service)).toEqual(new Set([undefined]));
    put(service, 'a', { bornAt: START_TIME + 1 });
    expect(selectedTargets(service)).toEqual(new Set(['a']));
  });

  it('is unlimited once it revokes the limit', () => {
    const { service } = makeLimitedService();
    put(service, 'a');
    limit(service, 'a');
    selectedTargets(service);
    service.targets.get('a')?.signals.limit.record(undefined, { sentAt: 1, now: 2 });
    expect(selectedTargets(service)).toEqual(new Set(['a']));
    expect(service.earliestAvailability(makeRoute())).toBeUndefined();
  });
});

describe('TargetLimits', () => {
  it('reports usage and demand only of targets with a limit', async () => {
    const { clock, limits, service } = makeLimitedService();
    put(service, 'a');
    put(service, 'b');
    selectedTargets(service);
    expect(limits.report()).toEqual({ used: {}, demand: {} });
    limit(service, 'a', 5);
    selectedTargets(service);
    await clock.advance(1_000);
    selectedTargets(service);
    const { used, demand } = limits.report();
    const [incarnationId = ''] = Object.keys(used);
    expect(incarnationId).toBe(service.targets.get('a')?.incarnationId);
    expect(Object.keys(demand)).toEqual([incarnationId]);
    expect(used[incarnationId]).toBeGreaterThan(0);
    expect(demand[incarnationId]).toBeGreaterThan(used[incarnationId] ?? 0);
  });
});
