import { FakeClock } from '@ferrylock/test-utils';
import type { TargetRecord } from '@ferrylock/routing';
import { describe, expect, it } from 'vitest';
import { FleetView } from '../../src/index.js';
import { captureEvents, makeRoutingState, targetChange } from '../fixtures.js';

function setUp() {
  const { log, events } = captureEvents();
  const view = new FleetView();
  const state = makeRoutingState(new FakeClock(), view, log);
  let revision = 1;
  const put = (changes: Partial<TargetRecord>): void => {
    revision++;
    view.apply({
      afterRevision: revision - 1,
      revision,
      changes: [targetChange(revision, changes)],
    });
  };
  view.replace({ revision: 1 }, []);
  const serviceOf = (id = 'target-1') => state.serviceOfTarget(id)?.name;
  const find = (id = 'target-1') => state.serviceOfTarget(id)?.targets.get(id);
  return { put, serviceOf, find, events };
}

describe('RoutingState', () => {
  it('assigns a target only to the service of its newest incarnation', () => {
    const { put, serviceOf, find } = setUp();
    put({ bornAt: 1_000, service: 'verdict-api' });
    put({ bornAt: 2_000, service: 'sorter-gate' });
    expect(serviceOf()).toBe('sorter-gate');
    expect(find()?.record.bornAt).toBe(2_000);
  });

  it.each([
    ['of the same service', {}],
    ['of another service', { service: 'verdict-api' }],
  ])('ignores a late record of an earlier incarnation %s', (_case, changes) => {
    const { put, serviceOf, find, events } = setUp();
    put({ bornAt: 2_000, sequence: 1, service: 'sorter-gate' });
    const target = find();
    const lines = events.length;
    put({ bornAt: 1_000, sequence: 900, service: 'sorter-gate', state: 'draining', ...changes });
    expect(serviceOf()).toBe('sorter-gate');
    expect(find()).toBe(target);
    expect(target?.leaving).toBe(false);
    expect(events).toHaveLength(lines);
  });

  it('logs a new incarnation of a target', () => {
    const { put, events } = setUp();
    put({ bornAt: 1_000, state: 'draining' });
    put({ bornAt: 2_000 });
    expect(events.at(-1)).toMatchObject({ event: 'target', target: 'target-1', state: 'reborn' });
  });
});
