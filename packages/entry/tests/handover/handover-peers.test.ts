import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import type { EntryHostRecord } from '../../src/index.js';
import { HandoverPeers } from '../../src/handover/handover-peers.js';
import { makeHostRecord } from '../fixtures.js';

const ANYWHERE = { homeRegions: [] };
const NONE: ReadonlySet<string> = new Set();

function makePeers(
  records: readonly Partial<EntryHostRecord>[],
  notServing: readonly string[] = [],
) {
  const hosts = records.map((record) => makeHostRecord(record));
  return new HandoverPeers({
    random: new SeededRandom(1),
    ownName: 'own',
    ownRegion: 'jylland',
    hosts: () => hosts,
    isServing: ({ name }) => !notServing.includes(name),
  });
}

/** Hosts selected for many requests that stay in flight, by name. */
function spread(peers: HandoverPeers, count: number): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let request = 0; request < count; request++) {
    const host = peers.select(ANYWHERE, NONE);
    if (host !== undefined) {
      peers.begin(host);
      counts[host.name] = (counts[host.name] ?? 0) + 1;
    }
  }
  return counts;
}

describe('HandoverPeers', () => {
  it('selects neither this host nor one that does not serve or was tried', () => {
    const records = [{ name: 'own' }, { name: 'cut' }, { name: 'tried' }, { name: 'good' }];
    const peers = makePeers(records, ['cut']);
    for (let round = 0; round < 20; round++) {
      expect(peers.select(ANYWHERE, new Set(['tried']))?.name).toBe('good');
    }
    expect(peers.select(ANYWHERE, new Set(['tried', 'good']))).toBeUndefined();
  });

  it('selects hosts of the home regions alone for a request that has such', () => {
    const peers = makePeers([
      { name: 'near', region: 'jylland' },
      { name: 'home', region: 'fyn' },
    ]);
    for (let round = 0; round < 20; round++) {
      expect(peers.select({ homeRegions: ['fyn'] }, NONE)?.name).toBe('home');
    }
    expect(peers.select({ homeRegions: ['sjaelland'] }, NONE)).toBeUndefined();
  });

  it('prefers hosts of its region until they have much in flight', () => {
    const peers = makePeers([
      { name: 'near', region: 'jylland', capacity: 0.5 },
      { name: 'far', region: 'fyn', capacity: 0.5 },
    ]);
    expect(spread(peers, 8)).toEqual({ near: 8 });
    const { near = 0, far = 0 } = spread(peers, 40);
    expect(far).toBeGreaterThan(10);
    expect(near).toBeGreaterThan(10);
  });

  it('spreads requests over hosts by capacity', () => {
    const peers = makePeers([
      { name: 'large', capacity: 1.35 },
      { name: 'small', capacity: 0.27 },
    ]);
    const { large = 0, small = 0 } = spread(peers, 60);
    expect(large / small).toBeGreaterThan(3);
    expect(small).toBeGreaterThan(0);
  });

  it('forgets requests that ended', () => {
    const peers = makePeers([
      { name: 'near', region: 'jylland', capacity: 0.5 },
      { name: 'far', region: 'fyn', capacity: 0.5 },
    ]);
    for (let request = 0; request < 100; request++) {
      const host = peers.select(ANYWHERE, NONE);
      expect(host?.name).toBe('near');
      if (host !== undefined) {
        peers.begin(host);
        peers.end(host);
      }
    }
  });
});
