import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { FleetView } from '../../src/index.js';
import { PeerLoads } from '../../src/peers/peer-loads.js';
import { PEER_TIMEOUT_MILLISECONDS } from '../../src/peers/peer-table.js';
import { captureEvents, makeRoutingState, targetChange } from '../fixtures.js';

function makeLoads(isHeard = () => true) {
  const clock = new FakeClock();
  const { log } = captureEvents();
  const view = new FleetView();
  const state = makeRoutingState(clock, view, log);
  view.replace({ revision: 1 }, [targetChange(1, { id: 'a' }), targetChange(1, { id: 'b' })]);
  const target = (id: string) => {
    const found = state.serviceOfTarget(id)?.targets.get(id);
    if (found === undefined) {
      throw new Error(`no target ${id}`);
    }
    return found;
  };
  const restart = (id: string): void => {
    view.apply({
      afterRevision: 1,
      revision: 2,
      changes: [targetChange(2, { id, bornAt: 1_000 })],
    });
  };
  return { clock, loads: new PeerLoads(clock, state, isHeard), target, restart };
}

describe('PeerLoads', () => {
  // Guards against keeping other hosts from targets by requests that never arrived there.
  it('does not report requests at targets that this host does not reach', () => {
    let isHeard = true;
    const { loads, target } = makeLoads(() => isHeard);
    target('a').inFlight = 3;
    expect(loads.recordReport(1)).toEqual({ [target('a').incarnationId]: 3 });
    isHeard = false;
    expect(loads.recordReport(2)).toEqual({});
  });

  it('adds up the latest reports of all sources', () => {
    const { loads, target, clock } = makeLoads();
    loads.update('host h1', { a: 2, b: 1 });
    loads.update('domain d1', { a: 3 });
    loads.update('host h1', { a: 1 });
    expect(target('a').load(clock.now())).toBe(4);
    expect(target('b').load(clock.now())).toBe(0);
  });

  it('counts requests at the current incarnation of a target only', () => {
    const { clock, loads, target, restart } = makeLoads();
    loads.update('host h1', { a: 2 });
    restart('a');
    expect(target('a').load(clock.now())).toBe(0);
    loads.update('host h1', { a: 2, [target('a').incarnationId]: 1 });
    expect(target('a').load(clock.now())).toBe(1);
    target('a').inFlight = 3;
    expect(loads.recordReport(1)).toEqual({ [target('a').incarnationId]: 3 });
  });

  it('subtracts its own requests from fleet totals', () => {
    const { loads, target, clock } = makeLoads();
    target('a').inFlight = 2;
    loads.recordReport(7);
    target('a').inFlight = 5;
    loads.recordReport(8);
    loads.updateFromFleet('fleet', { a: 6, b: 1 }, 7);
    expect(target('a').load(clock.now())).toBe(5 + 4);
    expect(target('b').load(clock.now())).toBe(1);
  });

  it('replaces reports of other sources by fleet totals', () => {
    const { loads, target, clock } = makeLoads();
    loads.update('host h1', { a: 2 });
    loads.updateFromFleet('fleet', { a: 3 }, 0);
    expect(target('a').load(clock.now())).toBe(3);
  });

  it('drops sources that time out', async () => {
    const { clock, loads, target } = makeLoads();
    loads.update('host h1', { a: 2 });
    await clock.advance(PEER_TIMEOUT_MILLISECONDS + 1);
    loads.sweep();
    expect(target('a').load(clock.now())).toBe(0);
  });

  it('omits targets with little load for their slots', () => {
    const { loads, target } = makeLoads();
    expect(target('a').record.slots).toBe(6);
    expect(loads.withoutIdle({ a: 3, b: 2 })).toEqual({ a: 3 });
  });

  it('sums the selected sources', () => {
    const { loads } = makeLoads();
    loads.update('host h1', { a: 2 });
    loads.update('domain d1', { a: 3, b: 1 });
    const isHost = (source: string): boolean => source.startsWith('host');
    expect(loads.sum(isHost, { b: 4 })).toEqual({ a: 2, b: 4 });
    expect(loads.sum(() => true, { b: 4 })).toEqual({ a: 5, b: 5 });
  });
});
