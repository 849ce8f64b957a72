import { describe, expect, it } from 'vitest';
import { HandoverAdmission } from '../../src/handover/handover-admission.js';
import { makeHostRecord } from '../fixtures.js';

const HANDOVER = {
  from: 'host-2',
  fromIncarnation: 'theirs',
  toIncarnation: 'own',
  milliseconds: 1_000,
  attempts: 0,
};

function makeAdmission({ utilization = 0, reachesNone = false, version = 7 } = {}) {
  return new HandoverAdmission({
    ownIncarnation: 'own',
    capacity: 0.5,
    hosts: () => [makeHostRecord({ name: 'host-2', incarnation: 'theirs' })],
    utilization: () => utilization,
    reachesNone: () => reachesNone,
    version: () => version,
  });
}

describe('HandoverAdmission', () => {
  it.each([
    ['a name that is not registered', { from: 'host-3' }],
    ['another incarnation of the sender', { fromIncarnation: 'former' }],
    ['another incarnation of this host', { toIncarnation: 'former' }],
  ])('takes requests of registered hosts alone, not of %s', (_case, changes) => {
    const admission = makeAdmission();
    expect(admission.begin({ ...HANDOVER, ...changes }).unwrapErr()).toBe('stranger');
    expect(admission.begin(HANDOVER).isOk()).toBe(true);
  });

  // Guards against a request that runs as only an older configuration allows, by way of a host that is behind.
  it('takes requests of hosts with the same configuration or an older one, and of older releases', () => {
    const admission = makeAdmission();
    expect(admission.begin({ ...HANDOVER, version: 8 }).unwrapErr()).toBe('behind');
    for (const version of [7, 6, undefined]) {
      expect(admission.begin({ ...HANDOVER, version }).isOk()).toBe(true);
    }
  });

  it('takes a bounded number at a time', () => {
    const admission = makeAdmission();
    let taken = 0;
    while (taken < 1_000 && admission.begin(HANDOVER).isOk()) {
      taken++;
    }
    expect(taken).toBe(64);
    expect(admission.begin(HANDOVER).unwrapErr()).toBe('busy');
    admission.end();
    expect(admission.begin(HANDOVER).isOk()).toBe(true);
  });

  it.each([
    ['busy with its own callers', { utilization: 0.85 }, 'busy'],
    ['cut off itself', { reachesNone: true }, 'unreachable'],
  ])('takes none while this host is %s', (_case, state, rejection) => {
    expect(makeAdmission(state).begin(HANDOVER).unwrapErr()).toBe(rejection);
  });
});
