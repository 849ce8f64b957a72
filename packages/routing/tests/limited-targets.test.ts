import { FakeClock, makeRoute } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { NO_DISABLED_MECHANISMS, TargetLimits } from '../src/index.js';
import type { ServiceTargets } from '../src/index.js';
import { BORN, makeService, put, reached } from './two-regions.js';

/**
 * Each way that leads to a target, with the targets of a service at the limit that they named. The host is alone, so that all of
 * a limit is its own; the figures do not matter here, since no way may lead past a limit that is used up.
 */
/** Moments at which all objects are asked for. */
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

/** The target names a limit of which nothing is left at first. */
function limit(service: ServiceTargets, id: string, perSecond = 1): void {
  service.targets.get(id)?.signals.limit.record(perSecond, { sentAt: 0, now: 0 });
}

describe('a target at the limit that it named', () => {
  it('is no first choice, and gets its part again once there is room', async () => {
    const { clock, service } = makeLimitedService();
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
    const { clock, service } = makeLimitedService();
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

  it.each([
    ['its cap', 1, 100, 1],
    ['its limit', 100, 1, 1],
  ])(
    'gets, while it is cold, what the stricter of both allows: %s',
    async (_case, cap, named, most) => {
      const { clock, service } = makeLimitedService();
      put(service, 'a', { coldMilliseconds: 60_000 });
      service.settings = {
        name: 'verdict-api',
        healthPath: '/health',
        mostConnections: 390,
        coldMilliseconds: 60_000,
        coldRequestsPerSecond: cap,
      };
      limit(service, 'a', named);
      let moments = 0;
      for (let step = 0; step < STEPS; step++) {
        await clock.advance(STEP_MILLISECONDS);
        moments += Number(reached(service).has('a'));
      }
      const seconds = (STEPS * STEP_MILLISECONDS) / 1_000;
      expect(moments).toBeGreaterThan(0);
      expect(moments).toBeLessThanOrEqual(most * seconds + 1);
    },
  );

  it('gets no uploads that are to stay near, nor what overflows from another region', () => {
    const { service } = makeLimitedService();
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
    const { clock, service } = makeLimitedService();
    put(service, 'a');
    put(service, 'b');
    limit(service, 'a', 0.5);
    service.targets.get('a')?.signals.recordRest(60_000, clock.now());
    expect(service.earliestAvailability(makeRoute())).toBeUndefined();
    limit(service, 'b', 0.5);
    reached(service);
    const wait = service.earliestAvailability(makeRoute());
    expect(wait).toMatchObject({ resting: ['a'], limited: ['b'] });
    expect(wait?.milliseconds).toBeLessThan(60_000);
    service.remove('b');
    expect(service.earliestAvailability(makeRoute())?.milliseconds).toBe(60_000);
  });

  it('keeps its limit where its record goes and comes back, and a later start has none', () => {
    const { service } = makeLimitedService();
    put(service, 'a');
    limit(service, 'a');
    service.remove('a');
    put(service, 'a');
    expect(reached(service)).toEqual(new Set([undefined]));
    put(service, 'a', { bornAt: BORN + 1 });
    expect(reached(service)).toEqual(new Set(['a']));
  });

  it('is as any other once it names none', () => {
    const { service } = makeLimitedService();
    put(service, 'a');
    limit(service, 'a');
    reached(service);
    service.targets.get('a')?.signals.limit.record(undefined, { sentAt: 1, now: 2 });
    expect(reached(service)).toEqual(new Set(['a']));
    expect(service.earliestAvailability(makeRoute())).toBeUndefined();
  });
});

describe('TargetLimits', () => {
  it('tells nothing of targets that name no limit, and of others what is used and wanted', async () => {
    const { clock, limits, service } = makeLimitedService();
    put(service, 'a');
    put(service, 'b');
    reached(service);
    expect(limits.report()).toEqual({ used: {}, demand: {} });
    limit(service, 'a', 5);
    reached(service);
    await clock.advance(1_000);
    reached(service);
    const { used, demand: asked } = limits.report();
    const [start = ''] = Object.keys(used);
    expect(start).toBe(service.targets.get('a')?.incarnationId);
    expect(Object.keys(asked)).toEqual([start]);
    expect(used[start]).toBeGreaterThan(0);
    expect(asked[start]).toBeGreaterThan(used[start] ?? 0);
  });
});
