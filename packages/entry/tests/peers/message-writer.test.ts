import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { FleetView } from '../../src/index.js';
import { MessageWriter } from '../../src/peers/message-writer.js';
import { PeerLoads } from '../../src/peers/peer-loads.js';
import { fleetDigestSchema } from '../../src/peers/peer-messages.js';
import { PeerTable } from '../../src/peers/peer-table.js';
import { StoreConfirmations } from '../../src/peers/store-confirmations.js';
import {
  hostChange,
  captureEvents,
  makeHostRecord,
  makeRoutingState,
  makeAccountDuty,
  makeLimitDuty,
  makeSuspectDuty,
} from '../fixtures.js';

/** Makes the writer of relay `host-1`, which receives reports of `host-2` but not of `host-3`. */
function makeWriter() {
  const clock = new FakeClock();
  const { log } = captureEvents();
  const view = new FleetView();
  const names = ['host-1', 'host-2', 'host-3'];
  view.replace(
    { revision: 1 },
    names.map((name) => hostChange(1, { name })),
  );
  const peers = new PeerTable(clock, log, () => 'first');
  const status = { incarnation: 'first', leaving: false, utilization: 0.2 };
  peers.update(
    { ...status, name: 'host-2', sequence: 1, asked: { 'verdict-api': 0.25 } },
    'itself',
  );
  const writer = new MessageWriter({
    clock,
    view,
    peers,
    loads: new PeerLoads(clock, makeRoutingState(clock, view, log)),
    accounts: makeAccountDuty(clock),
    limits: makeLimitDuty(clock, log),
    suspects: makeSuspectDuty(clock, log),
    confirmations: new StoreConfirmations(clock),
    own: makeHostRecord({ name: 'host-1' }),
    isLeaving: () => false,
    utilization: () => 0.1,
    asked: () => ({ 'verdict-api': 0.5 }),
    storeAnsweredAt: () => -Infinity,
  });
  const digest = () => {
    const { params } = JSON.parse(writer.fleetDigest({ revision: 0 }, false)) as {
      params: unknown;
    };
    return fleetDigestSchema.parse(params);
  };
  return { peers, digest };
}

describe('fleet digest', () => {
  it('lists registered hosts that the relay receives no reports of', () => {
    expect([...makeWriter().digest().absent]).toEqual(['host-3 first']);
  });

  it('does not depend on fleet summaries of other relays', () => {
    const { peers, digest } = makeWriter();
    peers.updateFromFleet('another relay', { absent: new Set(), regions: new Map() });
    expect(peers.isServing(makeHostRecord({ name: 'host-3' }))).toBe(true);
    expect([...digest().absent]).toEqual(['host-3 first']);
  });

  it('sums the busy cores and the demand of a region', () => {
    const summary = makeWriter().digest().regions.get('jylland');
    expect(summary?.busyCores).toBeCloseTo(0.5 * (0.1 + 0.2));
    expect(summary?.asked).toEqual({ 'verdict-api': 0.75 });
  });
});
