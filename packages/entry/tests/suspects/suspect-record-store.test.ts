/** Guards against several hosts writing the same record or running the only trial of a suspect. */
import { SuspectTable } from '@ferrylock/routing';
import { FakeClock, MemoryFleetStore } from '@ferrylock/test-utils';
import { SeededRandom, stableHash } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import type { FleetChange } from '../../src/index.js';
import { FleetView } from '../../src/index.js';
import { epochFromReported } from '../../src/fleet/store-position.js';
import { SuspectRecordStore } from '../../src/suspects/suspect-record-store.js';
import { captureEvents } from '../fixtures.js';

const HOSTS = 12;
const TARGETS = ['a', 'b', 'c'];
const SWEEP_MILLISECONDS = 200;

/** Hosts that receive the store's changes immediately and sweep five times per second. */
function setUp(hosts = HOSTS) {
  const clock = new FakeClock();
  const store = new MemoryFleetStore(clock);
  const all = Array.from({ length: hosts }, (_, index) => {
    const view = new FleetView();
    const table = new SuspectTable(clock);
    const { log, events } = captureEvents();
    const random = new SeededRandom(stableHash(`host-${index}`));
    const records = new SuspectRecordStore({
      clock,
      random,
      events: log,
      store,
      view,
      table,
      hosts: () => hosts,
      writeOrderOf: () => index,
    });
    void sweep(records);
    void watch(view);
    return { view, table, records, events };
  });
  async function sweep(records: SuspectRecordStore): Promise<void> {
    for (;;) {
      await clock.sleep(SWEEP_MILLISECONDS);
      records.sweep();
    }
  }
  async function watch(view: FleetView): Promise<void> {
    for (;;) {
      const answer = await store.waitForChanges(view.revision, 1_000);
      if (answer.isErr()) {
        const { epoch: reported = 0, revision, changes } = (await store.list()).unwrap();
        const epoch = epochFromReported(reported);
        view.replace({ epoch, revision }, inEpoch(changes, epoch));
        continue;
      }
      const { epoch: reported = 0, changes, revision } = answer.value;
      const epoch = epochFromReported(reported);
      const [afterEpoch, afterRevision] = [view.isEmpty ? 0 : epoch, view.revision];
      view.apply({ afterEpoch, afterRevision, epoch, revision, changes: inEpoch(changes, epoch) });
    }
  }
  return { clock, store, all };
}

function inEpoch(changes: readonly FleetChange[], epoch: number): FleetChange[] {
  return changes.map((change) => ({ ...change, epoch }));
}

function suspect({ table }: { table: SuspectTable }, targets = TARGETS): void {
  for (const target of targets) {
    table.recordCrash('bad', target);
  }
}

async function stateOf(store: MemoryFleetStore, clock: FakeClock): Promise<string | undefined> {
  const listing = store.list();
  await clock.advance(10);
  const [change] = (await listing).unwrap().changes;
  return change?.record?.kind === 'suspect' ? change.record.suspect.state : undefined;
}

describe('SuspectRecordStore', () => {
  it('writes one record for all hosts that know a suspect and informs the others', async () => {
    const { clock, store, all } = setUp();
    for (const host of all.slice(0, 6)) {
      suspect(host);
    }
    await clock.advance(3_000);
    const written = all.flatMap(({ events }) =>
      events.filter((event) => event.event === 'suspect-record' && event.isWritten),
    );
    expect(written).toHaveLength(1);
    expect(store.calls.write).toBeLessThanOrEqual(8);
    expect(all.every(({ table }) => table.isSuspect('bad'))).toBe(true);
  });

  it('grants the only trial to one of several hosts that claim it concurrently', async () => {
    const { clock, all } = setUp();
    all.forEach((host) => {
      suspect(host);
    });
    await clock.advance(4_000);
    const claims = all.map(({ records }) => records.claimTrial('bad'));
    await clock.advance(100);
    const won = (await Promise.all(claims)).filter(Boolean);
    expect(won).toHaveLength(1);
    const later = all.map(({ records }) => records.claimTrial('bad'));
    await clock.advance(100);
    expect((await Promise.all(later)).some(Boolean)).toBe(false);
    expect(all.some(({ records }) => records.mayTry('bad'))).toBe(false);
  });

  it('retries a rejected claim only every two seconds', async () => {
    const { clock, store, all } = setUp(1);
    const [host] = all;
    if (host === undefined) {
      throw new Error('no host');
    }
    suspect(host);
    await clock.advance(4_000);
    // Another host was first, and this one has not received the change.
    const calls = store.calls.write;
    host.view.apply = () => true;
    store.put('suspects/bad', {
      kind: 'suspect',
      suspect: { fingerprint: 'bad', targets: TARGETS, state: 'tried' },
    });
    for (let call = 0; call < 100; call++) {
      void host.records.claimTrial('bad');
      await clock.advance(40);
    }
    expect(store.calls.write - calls).toBeLessThanOrEqual(2 * 2);
  });

  it('grants no trial soon after a crash or before the record exists', async () => {
    const { clock, all } = setUp(1);
    const [host] = all;
    if (host === undefined) {
      throw new Error('no host');
    }
    suspect(host);
    expect(await host.records.claimTrial('bad')).toBe(false);
    await clock.advance(1_000);
    expect(await host.records.claimTrial('bad')).toBe(false);
  });

  it('clears the record after a response and the crashes at every host', async () => {
    const { clock, store, all } = setUp();
    all.forEach((host) => {
      suspect(host);
    });
    await clock.advance(4_000);
    all[3]?.table.recordResponse('bad', 9);
    await clock.advance(4_000);
    expect(await stateOf(store, clock)).toBe('cleared');
    expect(all.some(({ table }) => table.isSuspect('bad'))).toBe(false);
    await clock.advance(65_000);
    expect(await stateOf(store, clock)).toBeUndefined();
  });

  it('accepts a clearance by an operator despite later crashes', async () => {
    const { clock, store, all } = setUp();
    all.forEach((host) => {
      suspect(host);
    });
    await clock.advance(4_000);
    all.forEach((host) => {
      suspect(host, ['d', 'e', 'f']);
    });
    store.put('suspects/bad', {
      kind: 'suspect',
      suspect: { fingerprint: 'bad', targets: TARGETS, state: 'cleared' },
    });
    await clock.advance(4_000);
    expect(all.some(({ table }) => table.isSuspect('bad'))).toBe(false);
    expect(await stateOf(store, clock)).toBe('cleared');
  });

  it('records a request again that crashes targets after it was cleared', async () => {
    const { clock, store, all } = setUp();
    all.forEach((host) => {
      suspect(host);
    });
    await clock.advance(4_000);
    all[3]?.table.recordResponse('bad', 9);
    await clock.advance(4_000);
    all.forEach((host) => {
      suspect(host, ['d', 'e', 'f']);
    });
    await clock.advance(4_000);
    expect(await stateOf(store, clock)).toBe('suspected');
  });

  it('rewrites a lost record and keeps its state', async () => {
    const { clock, store, all } = setUp();
    all.forEach((host) => {
      suspect(host);
    });
    await clock.advance(4_000);
    const claim = all[0]?.records.claimTrial('bad');
    await clock.advance(1_000);
    expect(await claim).toBe(true);
    store.remove('suspects/bad');
    await clock.advance(3_000);
    expect(await stateOf(store, clock)).toBeUndefined();
    all[5]?.table.recordArrival('bad');
    await clock.advance(3_000);
    expect(await stateOf(store, clock)).toBe('tried');
  });

  it('keeps a record for ten minutes after the last arrival of its request', async () => {
    const { clock, store, all } = setUp(2);
    all.forEach((host) => {
      suspect(host);
    });
    for (let minute = 0; minute < 30; minute++) {
      all[1]?.table.recordArrival('bad');
      await clock.advance(60_000);
    }
    expect(await stateOf(store, clock)).toBe('suspected');
    for (let minute = 0; minute < 21; minute++) {
      await clock.advance(60_000);
      all.forEach(({ table }) => {
        table.sweep();
      });
    }
    expect(await stateOf(store, clock)).toBeUndefined();
    expect(all.some(({ table }) => table.isSuspect('bad'))).toBe(false);
  });

  it('writes at most 256 records', async () => {
    const { clock, store, all } = setUp(1);
    for (let index = 0; index < 400; index++) {
      for (const target of TARGETS) {
        all[0]?.table.recordCrash(`bad-${index}`, target);
      }
    }
    await clock.advance(5_000);
    const listing = store.list();
    await clock.advance(10);
    expect((await listing).unwrap().changes.length).toBeLessThanOrEqual(256);
  });

  it('grants no second trial after the store was restored from a snapshot', async () => {
    const { clock, store, all } = setUp();
    all.forEach((host) => {
      suspect(host);
    });
    await clock.advance(4_000);
    const snapshot = store.takeCopy();
    const claimed = all[0]?.records.claimTrial('bad');
    await clock.advance(1_000);
    expect(await claimed).toBe(true);
    store.restore(snapshot);
    await clock.advance(3_000);
    const claims = all.map(({ records }) => records.claimTrial('bad'));
    await clock.advance(100);
    expect((await Promise.all(claims)).some(Boolean)).toBe(false);
  });

  it.each([
    ['lacks it', 0],
    ['has an older state of it', 1],
  ])(
    'rewrites a record within 2 s by one host after a restore from a snapshot that %s',
    async (_case, snapshots) => {
      const { clock, store, all } = setUp();
      const first = store.takeCopy();
      all.forEach((host) => {
        suspect(host);
      });
      await clock.advance(4_000);
      const snapshot = snapshots === 0 ? first : store.takeCopy();
      void all[0]?.records.claimTrial('bad');
      await clock.advance(1_000);
      store.restore(snapshot);
      const before = store.calls.write;
      await clock.advance(2_000);
      expect(await stateOf(store, clock)).toBe('tried');
      expect(store.calls.write - before).toBeLessThanOrEqual(8);
    },
  );

  it('does not match a revision of a previous epoch', async () => {
    const { clock, store, all } = setUp(1);
    const snapshot = store.takeCopy();
    all.forEach((host) => {
      suspect(host);
    });
    await clock.advance(4_000);
    store.restore(snapshot);
    // Another record now has the revision that the host's own had in the previous epoch.
    store.put('suspects/bad', {
      kind: 'suspect',
      suspect: { fingerprint: 'bad', targets: ['d'], state: 'cleared' },
    });
    const claimed = all[0]?.records.claimTrial('bad');
    await clock.advance(50);
    expect(await claimed).toBe(false);
    expect(await stateOf(store, clock)).toBe('cleared');
  });
});
