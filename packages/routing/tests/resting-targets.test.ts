import { makeRoute } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import type { ServiceTargets } from '../src/index.js';
import { BORN, makeService, put, reached } from './two-regions.js';

/**
 * Each way that leads to a target, with the targets of a service at rest that it would lead to. The pattern is a third of a
 * service that asks for 3 s of rest, as it was seen; the figures do not matter here, since no way may lead there.
 */
const REST_MILLISECONDS = 3_000;

function rest(service: ServiceTargets, id: string): void {
  service.targets.get(id)?.signals.recordRest(REST_MILLISECONDS, 0);
}

describe('a target that asked for rest', () => {
  it('is no first choice, and its objects come home after its rest', async () => {
    const { clock, service } = makeService();
    ['a', 'b', 'c'].forEach((id) => {
      put(service, id);
    });
    rest(service, 'a');
    expect(reached(service)).toEqual(new Set(['b', 'c']));
    await clock.advance(REST_MILLISECONDS - 1);
    expect(reached(service)).toEqual(new Set(['b', 'c']));
    await clock.advance(1);
    expect(reached(service)).toEqual(new Set(['a', 'b', 'c']));
  });

  it('is not retried at, where all others were tried', () => {
    const { service } = makeService();
    ['a', 'b'].forEach((id) => {
      put(service, id);
    });
    rest(service, 'a');
    expect(reached(service, { tried: new Set(['b']) })).toEqual(new Set([undefined]));
  });

  it('is not tried where all others fail', () => {
    const { clock, service } = makeService();
    ['a', 'b'].forEach((id) => {
      put(service, id);
    });
    rest(service, 'a');
    const failing = service.targets.get('b');
    failing?.recordFailure(clock.now());
    expect(reached(service)).toEqual(new Set(['b']));
  });

  it('is not tried where all others are full', () => {
    const { service } = makeService();
    ['a', 'b'].forEach((id) => {
      put(service, id);
    });
    rest(service, 'a');
    Object.assign(service.targets.get('b') ?? {}, { inFlight: 100 });
    expect(reached(service)).toEqual(new Set([undefined]));
  });

  it('is not used while it is cold', () => {
    const { service } = makeService();
    put(service, 'a', { coldMilliseconds: 10_000 });
    rest(service, 'a');
    expect(reached(service)).toEqual(new Set([undefined]));
  });

  it('gets no uploads that are to stay near, nor what overflows from another region', () => {
    const { service } = makeService();
    put(service, 'near');
    put(service, 'far', { failureDomain: 'odense-hal' });
    rest(service, 'near');
    const upload = { route: makeRoute({ kind: 'upload' }) };
    expect(reached(service, upload)).toEqual(new Set(['far']));
    rest(service, 'far');
    Object.assign(service.targets.get('near') ?? {}, { inFlight: 100 });
    expect(reached(service, upload)).toEqual(new Set([undefined]));
  });

  it('gets no requests that only its region may serve', () => {
    const { service } = makeService();
    put(service, 'near');
    put(service, 'far', { failureDomain: 'odense-hal' });
    rest(service, 'near');
    const route = makeRoute({ homeRegions: ['jylland'] });
    expect(reached(service, { route })).toEqual(new Set([undefined]));
  });
});

describe('the word of a start', () => {
  it.each([
    ['tells when it began', BORN],
    ['does not tell when it began', undefined],
  ])('holds where the record of a target that %s goes and comes back', (_case, bornAt) => {
    const { service } = makeService();
    put(service, 'a', { bornAt });
    put(service, 'b', { bornAt });
    rest(service, 'a');
    service.targets.get('b')?.signals.recordLeaving();
    service.remove('a');
    service.remove('b');
    put(service, 'a', { bornAt });
    put(service, 'b', { bornAt });
    expect(reached(service)).toEqual(new Set([undefined]));
  });

  it('binds no later start under the same id, whichever is told first', () => {
    const { service } = makeService();
    put(service, 'a');
    rest(service, 'a');
    const former = service.targets.get('a');
    put(service, 'a', { bornAt: BORN + 1 });
    expect(reached(service)).toEqual(new Set(['a']));
    former?.signals.recordRest(REST_MILLISECONDS, 0);
    former?.signals.recordLeaving();
    expect(reached(service)).toEqual(new Set(['a']));
  });

  it('is not taken back by a record that says ready', () => {
    const { service } = makeService();
    put(service, 'a');
    service.targets.get('a')?.signals.recordLeaving();
    put(service, 'a', { sequence: 7 });
    expect(service.targets.get('a')?.leaving).toBe(true);
  });
});

describe('when targets want work again', () => {
  it('is told where all rest that may take a request, by the first of them', async () => {
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
