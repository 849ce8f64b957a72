import { NO_DISABLED_MECHANISMS } from '@ferrylock/routing';
import { FakeClock } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { afterEach, describe, expect, it } from 'vitest';
import { StoreHealth } from '../../src/fleet/store-health.js';
import { StoreWatch } from '../../src/fleet/store-watch.js';
import type { FleetChanges, FleetStore, FleetStoreFailure } from '../../src/index.js';
import { FleetView } from '../../src/index.js';
import { configurationChange, captureEvents, targetChange } from '../fixtures.js';

type StoreResult = Result<FleetChanges, FleetStoreFailure>;

/** A store with scripted responses to listings and watches; further watches hang. */
class ScriptedStore implements FleetStore {
  listings: StoreResult[] = [];
  waits: StoreResult[] = [];
  calls: string[] = [];

  list(): Promise<StoreResult> {
    this.calls.push('list');
    return Promise.resolve(this.listings.shift() ?? Err(failure('not-done')));
  }

  waitForChanges(afterRevision: number): Promise<StoreResult> {
    this.calls.push(`wait ${afterRevision}`);
    const result = this.waits.shift();
    return result === undefined ? new Promise(() => undefined) : Promise.resolve(result);
  }

  register = () => Promise.resolve(Err(failure('not-done')));
  renew = () => Promise.resolve(Err(failure('not-done')));
  findLease = () => Promise.resolve(Err(failure('not-done')));
  release = () => Promise.resolve(Err(failure('not-done')));
  writeSuspect = () => Promise.resolve(Err(failure('not-done')));
}

function failure(kind: FleetStoreFailure['kind']): FleetStoreFailure {
  return { kind, message: 'test' };
}

function makeWatch() {
  const clock = new FakeClock();
  const { log, events } = captureEvents();
  const store = new ScriptedStore();
  const view = new FleetView();
  const health = new StoreHealth(clock, log);
  const state = {
    isWatcher: true,
    relistDelayMilliseconds: 0,
    watchDueMilliseconds: Infinity,
    apply: (): void => undefined,
  };
  const watch = new StoreWatch({
    clock,
    random: new SeededRandom(1),
    events: log,
    store,
    view,
    health,
    disabledMechanisms: NO_DISABLED_MECHANISMS,
    isWatcher: () => state.isWatcher,
    batchMilliseconds: () => 20,
    watchDueMilliseconds: () => state.watchDueMilliseconds,
    relistDelayMilliseconds: () => state.relistDelayMilliseconds,
    queryPeers: () => Promise.resolve(state.apply),
  });
  return { clock, events, store, view, health, state, watch };
}

describe('StoreWatch', () => {
  let stop: (() => void) | undefined;

  afterEach(() => stop?.());

  it('lists the store, then watches for changes', async () => {
    const { clock, store, view, watch } = makeWatch();
    store.listings = [Ok({ revision: 7, changes: [targetChange(7)] })];
    store.waits = [Ok({ revision: 9, changes: [targetChange(9, { id: 'target-2' })] })];
    watch.start();
    await clock.advance(1_000);
    expect(store.calls).toEqual(['list', 'wait 7', 'wait 9']);
    expect(view.records('target')).toHaveLength(2);
  });

  it('lists the store again if the history is lost', async () => {
    const { clock, store, view, watch } = makeWatch();
    store.listings = [
      Ok({ revision: 7, changes: [targetChange(7)] }),
      Ok({ revision: 30, changes: [] }),
    ];
    store.waits = [Err(failure('history-lost'))];
    watch.start();
    await clock.advance(1_000);
    expect(store.calls.slice(0, 4)).toEqual(['list', 'wait 7', 'list', 'wait 30']);
    expect(view.records('target')).toEqual([]);
  });

  it('pauses after a failure, keeps its view and logs when the store is available again', async () => {
    const { clock, store, view, watch, events, health } = makeWatch();
    store.listings = [Ok({ revision: 7, changes: [targetChange(7)] })];
    store.waits = [
      Err(failure('unknown')),
      Err(failure('not-done')),
      Ok({ revision: 7, changes: [] }),
    ];
    watch.start();
    await clock.advance(100);
    expect(health.isUnavailable).toBe(true);
    expect(health.absence).toBeUndefined();
    expect(view.records('target')).toHaveLength(1);
    expect(store.calls).toHaveLength(2);
    await clock.advance(2_000);
    expect(health.isUnavailable).toBe(false);
    const names = events.map(({ event }) => event);
    expect(names.filter((name) => name.startsWith('store-'))).toEqual([
      'store-lost',
      'store-regained',
    ]);
  });

  it('makes no calls while other hosts watch', async () => {
    const { clock, store, state, watch } = makeWatch();
    state.isWatcher = false;
    watch.start();
    await clock.advance(5_000);
    expect(store.calls).toEqual([]);
  });

  it('logs a restore with the revisions of both epochs', async () => {
    const { clock, store, watch, events } = makeWatch();
    store.listings = [
      Ok({ epoch: 1, revision: 7, changes: [targetChange(7)] }),
      Ok({ epoch: 2, revision: 4, changes: [targetChange(4)] }),
    ];
    store.waits = [Err({ ...failure('history-lost'), epoch: 2 })];
    watch.start();
    await clock.advance(1_000);
    expect(watch.progress).toMatchObject({ epoch: 2, revision: 4 });
    expect(events.filter(({ event }) => event === 'store-epoch')).toEqual([
      { event: 'store-epoch', epoch: 2, formerEpoch: 1, revision: 7, knownRevision: 7 },
    ]);
  });

  it('treats a listing that ends before the known revision as an unreported restore', async () => {
    const { clock, store, view, watch } = makeWatch();
    store.listings = [
      Ok({ revision: 7, changes: [targetChange(7)] }),
      Ok({ revision: 4, changes: [targetChange(4, { id: 'target-2' })] }),
    ];
    store.waits = [Err(failure('history-lost'))];
    watch.start();
    await clock.advance(1_000);
    expect(store.calls).toEqual(['list', 'wait 7', 'list', 'wait 4']);
    expect(view.position).toEqual({ epoch: 1, revision: 4 });
    expect(view.records('target').map(({ target }) => target.id)).toEqual(['target-2']);
  });

  it('rejects a listing that updates of peers have overtaken, and logs that', async () => {
    const { clock, store, view, watch, events } = makeWatch();
    store.listings = [Ok({ revision: 7, changes: [targetChange(7)] })];
    store.waits = [Err(failure('history-lost'))];
    watch.start();
    await clock.advance(100);
    store.list = async () => {
      await clock.sleep(50);
      view.replace({ revision: 9 }, [targetChange(9)]);
      return Ok({ revision: 8, changes: [] });
    };
    await clock.advance(1_000);
    expect(view.position).toEqual({ epoch: 0, revision: 9 });
    expect(watch.progress.refusedListings).toBe(1);
    expect(events.filter(({ event }) => event === 'listing-refused')).toEqual([
      { event: 'listing-refused', epoch: 0, revision: 8, knownRevision: 9 },
    ]);
  });

  it('relists if a response belongs to another epoch than the requested revision', async () => {
    const { clock, store, view, watch } = makeWatch();
    store.listings = [
      Ok({ epoch: 1, revision: 7, changes: [targetChange(7)] }),
      Ok({ epoch: 2, revision: 9, changes: [targetChange(8, { id: 'target-2' })] }),
    ];
    store.waits = [Ok({ epoch: 2, revision: 9, changes: [targetChange(9, { id: 'target-3' })] })];
    watch.start();
    await clock.advance(1_000);
    expect(store.calls).toEqual(['list', 'wait 7', 'list', 'wait 9']);
    expect(view.records('target').map(({ target }) => target.id)).toEqual(['target-2']);
  });

  it('applies the records of peers together with the first listing', async () => {
    const { clock, store, view, state, watch } = makeWatch();
    const versions: (number | undefined)[] = [];
    state.apply = () => {
      versions.push(view.records('configuration')[0]?.configuration.version);
      const kept = { ...configurationChange(9, { version: 4 }), epoch: 1_000 };
      view.apply({
        afterEpoch: 2_000,
        afterRevision: 7,
        epoch: 2_000,
        revision: 7,
        changes: [],
        kept: [kept],
      });
    };
    store.listings = [
      Ok({ epoch: 2, revision: 7, changes: [configurationChange(6, { version: 3 })] }),
    ];
    watch.start();
    await clock.advance(100);
    expect(versions).toEqual([3]);
    expect(view.records('configuration')[0]?.configuration.version).toBe(4);
  });

  it('does not relist if a peer provides the new state first', async () => {
    const { clock, store, view, state, watch } = makeWatch();
    state.relistDelayMilliseconds = 900;
    store.listings = [Ok({ epoch: 1, revision: 7, changes: [targetChange(7)] })];
    store.waits = [Err({ ...failure('history-lost'), epoch: 2 })];
    watch.start();
    await clock.advance(800);
    view.apply({ afterEpoch: 1_000, afterRevision: 7, epoch: 2_000, revision: 4, changes: [] });
    await clock.advance(1_000);
    expect(store.calls).toEqual(['list', 'wait 7', 'wait 4']);
  });

  describe('with a history that is lost while nobody confirms the view', () => {
    /** Makes a host that hears nobody and begins to watch after 1,800 ms; its turn to list is 1 s later. */
    async function makeUnconfirmed() {
      const made = makeWatch();
      const { clock, store, view, state, watch } = made;
      view.replace({ epoch: 0, revision: 7 }, [targetChange(7)]);
      view.confirm({ epoch: 0, revision: 7 }, { at: clock.now(), source: 'host-2' });
      store.listings = [Ok({ revision: 40, changes: [configurationChange(40)] })];
      store.waits = [Err(failure('history-lost'))];
      state.isWatcher = false;
      state.relistDelayMilliseconds = 1_000;
      watch.start();
      await clock.advance(1_800);
      state.isWatcher = true;
      return made;
    }

    // Guards against a change that comes late as each state of a peer, forgotten too, begins the wait anew.
    it('relists although a peer provides a newer state', async () => {
      const { clock, store, view } = await makeUnconfirmed();
      await clock.advance(300);
      view.apply({ afterEpoch: 0, afterRevision: 7, epoch: 0, revision: 8, changes: [] });
      await clock.advance(1_000);
      expect(store.calls).toEqual(['wait 7', 'list', 'wait 40']);
    });

    it('relists before changes are due, though its turn is later', async () => {
      const { clock, view } = await makeUnconfirmed();
      await clock.advance(850);
      expect(view.records('configuration')).toHaveLength(1);
    });
  });

  it.each([
    { reported: undefined, revision: 9, changes: ['target-1', 'target-2'] },
    { reported: 1, revision: 9, changes: ['target-1', 'target-2'] },
  ])(
    'goes on by revisions if the store reports epoch $reported after 3, and loses nothing',
    async ({ reported, revision, changes }) => {
      const { clock, store, view, watch, events } = makeWatch();
      const target = targetChange(9, { id: 'target-2' });
      store.listings = [Ok({ epoch: 3, revision: 7, changes: [targetChange(7)] })];
      store.waits = [
        Ok({ epoch: reported, revision, changes: [target] }),
        Ok({ epoch: reported, revision, changes: [] }),
      ];
      watch.start();
      await clock.advance(1_000);
      expect(store.calls).toEqual(['list', 'wait 7', 'wait 9', 'wait 9']);
      expect(view.records('target').map((record) => record.target.id)).toEqual(changes);
      const lines = events.filter(({ event }) => event === 'store-header');
      expect(lines).toHaveLength(reported === undefined ? 0 : 1);
    },
  );

  it('bounds the rate of listings if the store has lost its history each time', async () => {
    const { clock, store, watch } = makeWatch();
    const listing = Ok({ revision: 7, changes: [targetChange(7)] });
    store.listings = Array.from({ length: 1_000 }, () => listing);
    store.waits = Array.from({ length: 1_000 }, () => Err(failure('history-lost')));
    watch.start();
    await clock.advance(10_000);
    expect(store.calls.filter((call) => call === 'list').length).toBeLessThan(30);
  });
});
