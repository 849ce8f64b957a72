import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { FleetView } from '../../src/index.js';
import { PeerClient } from '../../src/peers/peer-client.js';
import { PeerExchange } from '../../src/peers/peer-exchange.js';
import { PeerTable } from '../../src/peers/peer-table.js';
import { keepEvents, targetChange } from '../fixtures.js';

async function makeExchange() {
  const clock = new FakeClock();
  const { log } = keepEvents();
  const view = new FleetView();
  const peers = new PeerTable(clock, log);
  const store = { answeredAt: -Infinity };
  const exchange = new PeerExchange({
    clock,
    events: log,
    view,
    peers,
    client: new PeerClient(),
    storeAnsweredAt: () => store.answeredAt,
    inFlight: () => ({}),
    isLeaving: () => false,
  });
  view.replace(5, [targetChange(5)]);
  await clock.advance(1_000);
  return { clock, view, peers, store, exchange };
}

function report(answeredAgeMilliseconds: number, lastChange = 5) {
  return {
    name: 'watcher',
    incarnation: 'first',
    sequence: lastChange,
    lastChange,
    answeredAgeMilliseconds,
    leaving: false,
    inFlight: {},
  };
}

describe('PeerExchange', () => {
  it('takes a peer’s answer from the store as a confirmation of its own view', async () => {
    const { view, peers } = await makeExchange();
    peers.take(report(200));
    expect(view.confirmedAt).toBe(800);
  });

  it('does not pass on what only others were answered', async () => {
    const { peers, exchange } = await makeExchange();
    peers.take(report(200));
    expect(exchange.deltaFor({ afterRevision: 0 }).answeredAgeMilliseconds).toBeUndefined();
  });

  it('tells how long ago the store answered this host itself', async () => {
    const { clock, store, exchange } = await makeExchange();
    store.answeredAt = 900;
    await clock.advance(50);
    expect(exchange.deltaFor({ afterRevision: 0 }).answeredAgeMilliseconds).toBe(150);
  });

  it('gives only what the caller does not know, or everything where that is not kept', async () => {
    const { view, exchange } = await makeExchange();
    view.apply({ afterRevision: 5, revision: 6, changes: [targetChange(6, { id: 'new' })] });
    expect(exchange.deltaFor({ afterRevision: 5 })).toMatchObject({ isWhole: false, revision: 6 });
    expect(exchange.deltaFor({ afterRevision: 5 }).changes).toHaveLength(1);
    expect(exchange.deltaFor({ afterRevision: 2 })).toMatchObject({ isWhole: true });
    expect(exchange.deltaFor({ afterRevision: 2 }).changes).toHaveLength(2);
  });
});
