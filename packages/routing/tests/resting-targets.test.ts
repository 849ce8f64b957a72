import { makeRoute } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import type { ServiceTargets } from '../src/index.js';
import { START_TIME, makeService, put, selectedTargets } from './two-regions.js';

/**
 * Covers every path that could select a resting target: a target that requested a back-off through
 * Retry-After must get no request until its end.
 */
const REST_MILLISECONDS = 3_000;

function rest(service: ServiceTargets, id: string): void {
  service.targets.get(id)?.signals.recordRest(REST_MILLISECONDS, 0);
}

describe('a resting target', () => {
  it('is not selected first, and gets its keys back after the rest', async () => {
    const { clock, service } = makeService();
    ['a', 'b', 'c'].forEach((id) => {
      put(service, id);
    });
    rest(service, 'a');
    expect(selectedTargets(service)).toEqual(new Set(['b', 'c']));
    await clock.advance(REST_MILLISECONDS - 1);
    expect(selectedTargets(service)).toEqual(new Set(['b', 'c']));
    await clock.advance(1);
    expect(selectedTargets(service)).toEqual(new Set(['a', 'b', 'c']));
  });

  it('is not retried when all other targets were tried', () => {
    const { service } = makeService();
    ['a', 'b'].forEach((id) => {
      put(service, id);
    });
    rest(service, 'a');
    expect(selectedTargets(service, { tried: new Set(['b']) })).toEqual(new Set([undefined]));
  });

  it('is not tried when all other targets fail', () => {
    const { clock, service } = makeService();
    ['a', 'b'].forEach((id) => {
      put(service, id);
    });
    rest(service, 'a');
    const failing = service.targets.get('b');
    failing?.recordFailure(clock.now());
    expect(selectedTargets(service)).toEqual(new Set(['b']));
  });

  it('is not tried when all other targets are full', () => {
    const { service } = makeService();
    ['a', 'b'].forEach((id) => {
      put(service, id);
    });
    rest(service, 'a');
    Object.assign(service.targets.get('b') ?? {}, { inFlight: 100 });
    expect(selectedTargets(service)).toEqual(new Set([undefined]));
  });

  it('is not used during its cold start', () => {
    const { service } = makeService();
    put(service, 'a', { coldMilliseconds: 10_000 });
    rest(service, 'a');
    expect(selectedTargets(service)).toEqual(new Set([undefined]));
  });

  it('gets no local uploads and no overflow from another region', () => {
    const { service } = makeService();
    put(service, 'near');
    put(service, 'far', { failureDomain: 'odense-hal' });
    rest(service, 'near');
    const upload = { route: makeRoute({ kind: 'upload' }) };
    expect(selectedTargets(service, upload)).toEqual(new Set(['far']));
    rest(service, 'far');
    Object.assign(service.targets.get('near') ?? {}, { inFlight: 100 });
    expect(selectedTargets(service, upload)).toEqual(new Set([undefined]));
  });

  it('gets no requests that are restricted to its region', () => {
    const { service } = makeService();
    put(service, 'near');
    put(service, 'far', { failureDomain: 'odense-hal' });
    rest(service, 'near');
    const route = makeRoute({ homeRegions: ['jylland'] });
    expect(selectedTargets(service, { route })).toEqual(new Set([undefined]));
  });
});

describe('signals of an incarnation', () => {
  it.each([
    ['reports its start time', START_TIME],
    ['does not report its start time', undefined],
  ])('persist when the record of a target that %s disappears and returns', (_case, bornAt) => {
    const { service } = makeService();
    put(service, 'a', { bornAt });
    put(service, 'b', { bornAt });
    rest(service, 'a');
    service.targets.get('b')?.signals.recordLeaving();
    service.remove('a');
    service.remove('b');
    put(service, 'a', { bornAt });
    put(service, 'b', { bornAt });
    expect(selectedTargets(service)).toEqual(new Set([undefined]));
  });

  it('do not apply to a later incarnation with the same id', () => {
    const { service } = makeService();
    put(service, 'a');
    rest(service, 'a');
    const former = service.targets.get('a');
    put(service, 'a', { bornAt: START_TIME + 1 });
    expect(selectedTargets(service)).toEqual(new Set(['a']));
    former?.signals.recordRest(REST_MILLISECONDS, 0);
    former?.signals.recordLeaving();
    expect(selectedTargets(service)).toEqual(new Set(['a']));
  });

  it('are not revoked by a record that says ready', () => {
    const { service } = makeService();
    put(service, 'a');
    service.targets.get('a')?.signals.recordLeaving();
    put(service, 'a', { sequence: 7 });
    expect(service.targets.get('a')?.leaving).toBe(true);
  });
});

describe('earliest availability', () => {
  it('is that of the first target when all eligible targets rest', async () => {
    const { clock, service } = makeService();
    const anywhere = makeRoute();
    expect(service.earliestAvailability(anywhere)).toBeUndefined();
    ['a', 'b', 'leaving'].forEach((id) => {
      put(service, id);
    });
    put(service, 'far', { failureDomain: 'odense-hal' });
    service.targets.get('leaving')?.signals.recordLeaving();
    rest(service, 'a');
    await clock.advance(500);
    service.targets.get('b')?.signals.recordRest(REST_MILLISECONDS, clock.now());
    const nearOnly = makeRoute({ homeRegions: ['jylland'] });
    expect(service.earliestAvailability(nearOnly)).toEqual({
      milliseconds: REST_MILLISECONDS - 500,
      resting: ['a', 'b'],
      limited: [],
    });
    expect(service.earliestAvailability(anywhere)).toBeUndefined();
  });
});
