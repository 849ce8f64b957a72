/**
 * Load: a dozen hosts come to know of a suspect within a second, ask for it at the same time, and lose sight of the
 * store or of one another. What the whole fleet may do once is to be done by one of them.
 */
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

/** Hosts that see the store's changes as soon as they are made, and sweep five times a second. */
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
        const { epoch: told = 0, revision, changes } = (await store.list()).unwrap();
        const epoch = epochFromReported(told);
        view.replace({ epoch, revision }, ofLife(changes, epoch));
        continue;
      }
      const { epoch: told = 0, changes, revision } = answer.value;
      const epoch = epochFromReported(told);
      const [afterEpoch, afterRevision] = [view.isEmpty ? 0 : epoch, view.revision];
      view.apply({ afterEpoch, afterRevision, epoch, revision, changes: ofLife(changes, epoch) });
    }
  }
  return { clock, store, all };
}

function ofLife(changes: readonly FleetChange[], epoch: number): FleetChange[] {
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

describe('SuspectRecords', () => {
  it('are written once for all hosts that know of a suspect, and teach the others', async () => {
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

  it('give the one trial to one of all hosts that ask for it at the same time', async () => {
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

  it('ask a store that refuses once in two seconds, however often the request comes', async () => {
    const { clock, store, all } = setUp(1);
    const [host] = all;
    if (host === undefined) {
      throw new Error('no host');
    }
    suspect(host);
    await clock.advance(4_000);
    // Another host was first, and this one has not heard of it.
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

  it('give no trial while targets have just ended under the request, nor before a record is held', async () => {
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

  it('say that a request was answered, and have every host take its ends back', async () => {
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

  it('let a request in that an operator clears, whatever hosts have seen since the record', async () => {
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

  it('take a request on again that ends targets after it was cleared', async () => {
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

  it('come back where the store lost them, and stay tried where they were', async () => {
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

  it('last ten minutes from the last time that the request was asked for', async () => {
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

  it('are 256 at most', async () => {
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

  it('are not tried once more since the store came back from a copy in which they had not been', async () => {
    const { clock, store, all } = setUp();
    all.forEach((host) => {
      suspect(host);
    });
    await clock.advance(4_000);
    const copy = store.takeCopy();
    const claimed = all[0]?.records.claimTrial('bad');
    await clock.advance(1_000);
    expect(await claimed).toBe(true);
    store.restore(copy);
    await clock.advance(3_000);
    const claims = all.map(({ records }) => records.claimTrial('bad'));
    await clock.advance(100);
    expect((await Promise.all(claims)).some(Boolean)).toBe(false);
  });

  it.each([
    ['lacks them', 0],
    ['has an older state of them', 1],
  ])(
    'are written again within 2 s by one host where the store came back from a copy that %s',
    async (_case, copies) => {
      const { clock, store, all } = setUp();
      const first = store.takeCopy();
      all.forEach((host) => {
        suspect(host);
      });
      await clock.advance(4_000);
      const copy = copies === 0 ? first : store.takeCopy();
      void all[0]?.records.claimTrial('bad');
      await clock.advance(1_000);
      store.restore(copy);
      const before = store.calls.write;
      await clock.advance(2_000);
      expect(await stateOf(store, clock)).toBe('tried');
      expect(store.calls.write - before).toBeLessThanOrEqual(8);
    },
  );

  it('take no revision of a former life for the one that they are to replace', async () => {
    const { clock, store, all } = setUp(1);
    const copy = store.takeCopy();
    all.forEach((host) => {
      suspect(host);
    });
    await clock.advance(4_000);
    store.restore(copy);
    // Another record has the same revision now as the host's own had in the life before.
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
