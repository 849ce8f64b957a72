import { FakeClock, makeRoute, makeTargetRecord } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { FleetView } from '../../src/index.js';
import { PeerTable } from '../../src/peers/peer-table.js';
import { PlacementController } from '../../src/routing/placement-controller.js';
import { hostChange, captureEvents, makeRoutingState, targetChange } from '../fixtures.js';

/** A controller in `jylland` with another host in `fyn` and targets in both regions. */
function makeController() {
  const clock = new FakeClock();
  const { log } = captureEvents();
  const view = new FleetView();
  const state = makeRoutingState(clock, view, log);
  const peers = new PeerTable(clock, log, () => undefined);
  view.replace({ revision: 1 }, [
    hostChange(1, { name: 'host-1', region: 'jylland' }),
    hostChange(1, { name: 'host-2', region: 'fyn' }),
    targetChange(1, { id: 'a', failureDomain: 'jylland' }),
    targetChange(1, { id: 'b', failureDomain: 'fyn' }),
    targetChange(1, { id: 'c', failureDomain: 'fyn' }),
    targetChange(1, { id: 'd', failureDomain: 'fyn' }),
  ]);
  const controller = new PlacementController({
    clock,
    view,
    peers,
    state,
    ownName: 'host-1',
    ownRegion: 'jylland',
    onDemand: () => undefined,
  });
  const service = state.service(makeTargetRecord().service);
  if (service === undefined) {
    throw new Error('expected the targets’ service');
  }
  return { clock, peers, controller, service };
}

describe('PlacementController', () => {
  it('returns the demand for each service that has any', () => {
    const { controller, service } = makeController();
    expect(controller.ownDemand).toEqual({});
    service.requestRate.record();
    expect(Object.keys(controller.ownDemand)).toEqual([service.name]);
  });

  it('assumes equal demand in all regions until demand is reported', () => {
    const { controller, service } = makeController();
    controller.sweep();
    expect(service.placement.homeShare('jylland')).toBeCloseTo((6 * 2) / 24);
    expect(service.placement.homeShare('fyn')).toBe(1);
  });

  it('includes the demand reported by hosts of other regions', async () => {
    const { clock, controller, peers, service } = makeController();
    controller.sweep();
    const target = service.targets.get('a');
    if (target === undefined) {
      throw new Error('expected a target');
    }
    service.recordResponse(target, {
      route: makeRoute(),
      key: 'object-1',
      milliseconds: 100,
      loadPerSlot: 0,
    });
    for (let sequence = 1; sequence <= 40; sequence++) {
      await clock.advance(500);
      const status = {
        name: 'host-2',
        incarnation: 'first',
        sequence,
        leaving: false,
        reachesNone: false,
      };
      peers.update({ ...status, utilization: 0, asked: { [service.name]: 60 } }, 'itself');
      controller.sweep();
    }
    // The other region uses 6 of 18 slots and this one none, so all keys stay in their region.
    expect(service.placement.homeShare('jylland')).toBe(1);
    const other = service.placement.parts.find(({ region }) => region === 'fyn');
    expect(other?.work).toBeCloseTo(6);
  });
});
