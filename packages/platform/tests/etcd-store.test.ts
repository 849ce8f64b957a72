import { EtcdStandIn } from '@ferrylock/test-utils';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { EtcdStore } from '../src/index.js';
import type { StoreEvent, StoreFailure } from '../src/index.js';

let standIn: EtcdStandIn;
let store: EtcdStore;
let endpoint: string;

beforeEach(async () => {
  standIn = new EtcdStandIn();
  endpoint = await standIn.start();
  store = new EtcdStore({ endpoints: [endpoint], timeoutMilliseconds: 300 });
});

afterEach(async () => {
  await store.close();
  await standIn.stop();
});

async function create(key: string, value: string): Promise<void> {
  const outcome = await store.compareAndSwap({ key, expectedRevision: 0, value });
  expect(outcome.unwrap().swapped).toBe(true);
}

/** Watches a prefix until the test ends or the watch is cut. */
function startWatch(
  prefix: string,
  fromRevision: number,
): { seen: StoreEvent[]; ended: Promise<StoreFailure>; stop: () => void } {
  const seen: StoreEvent[] = [];
  const abort = new AbortController();
  const onEvents = (events: readonly StoreEvent[]): void => {
    seen.push(...events);
  };
  const ended = store.watch({ prefix, fromRevision, signal: abort.signal, onEvents });
  return {
    seen,
    ended,
    stop: () => {
      abort.abort();
    },
  };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

describe('EtcdStore', () => {
  it('tells the revisions of keys without their values', async () => {
    await create('a/1', 'first');
    await create('b/1', 'other');
    const { revision } = (await store.state()).unwrap();
    const told = (await store.revisions('a/')).unwrap();
    expect(told).toMatchObject({ revision, storeId: expect.any(String) as string });
    expect([...told.revisions]).toEqual([['a/1', revision - 1]]);
  });

  it('writes only over the revision that is expected', async () => {
    await create('a/1', 'first');
    const held = (await store.get('a/1')).unwrap();
    expect(held?.value).toBe('first');
    const stale = await store.compareAndSwap({ key: 'a/1', expectedRevision: 0, value: 'x' });
    expect(stale.unwrap()).toEqual({ swapped: false, current: held });
    const fresh = await store.compareAndSwap({
      key: 'a/1',
      expectedRevision: held?.revision ?? 0,
      value: 'søren → 2',
      alongside: [{ key: 'b/1', value: 'beside' }],
    });
    expect(fresh.unwrap().swapped).toBe(true);
    expect((await store.get('a/1')).unwrap()?.value).toBe('søren → 2');
    expect((await store.get('b/1')).unwrap()?.value).toBe('beside');
  });

  it('lists what has the prefix, with the revision shown', async () => {
    await create('a/1', '1');
    await create('a/2', '2');
    await create('b/1', '3');
    const listing = (await store.list('a/')).unwrap();
    expect(listing.values.map((value) => value.key)).toEqual(['a/1', 'a/2']);
    expect(listing.revision).toBe((await store.state()).unwrap().revision);
    expect((await store.get('c')).unwrap()).toBeUndefined();
  });

  it('brings changes from the revision asked for, in order', async () => {
    await create('a/1', '1');
    const { revision } = (await store.list('a/')).unwrap();
    await create('a/2', '2');
    const watch = startWatch('a/', revision + 1);
    await create('b/1', 'not ours');
    await create('a/3', '3');
    await until(() => watch.seen.length >= 2);
    expect(watch.seen.map((event) => event.key)).toEqual(['a/2', 'a/3']);
    watch.stop();
    await watch.ended;
  });

  it('tells when a watch is cut', async () => {
    const watch = startWatch('a/', 1);
    await until(() => standIn.engine.watcherCount === 1);
    standIn.engine.cutWatches();
    expect((await watch.ended).mayHaveTakenEffect).toBe(false);
  });

  it.each([
    ['the reply is lost', () => (standIn.engine.faults.loseWriteReplies = true), true, true],
    ['the service is slow', () => (standIn.engine.faults.slowMilliseconds = 500), true, undefined],
    [
      'the service is down',
      () => {
        standIn.engine.setDown(true);
      },
      true,
      false,
    ],
  ])('says that a write may have taken effect when %s', async (_name, fault, mayHave, stored) => {
    fault();
    const outcome = await store.compareAndSwap({ key: 'a/1', expectedRevision: 0, value: 'x' });
    expect(outcome.unwrapErr().mayHaveTakenEffect).toBe(mayHave);
    if (stored !== undefined) {
      expect(standIn.engine.get('a/1') !== undefined).toBe(stored);
    }
  });

  it('says that a write was not made when the connection is refused', async () => {
    await standIn.stop();
    const outcome = await store.compareAndSwap({ key: 'a/1', expectedRevision: 0, value: 'x' });
    expect(outcome.unwrapErr().mayHaveTakenEffect).toBe(false);
    standIn = new EtcdStandIn();
    await standIn.start();
  });

  it('turns to the next endpoint after a failure', async () => {
    const both = new EtcdStore({ endpoints: ['http://127.0.0.1:1', endpoint] });
    expect((await both.state()).isErr()).toBe(true);
    expect((await both.state()).isOk()).toBe(true);
    await both.close();
  });

  it('shows another store id after a restore', async () => {
    const before = (await store.state()).unwrap().storeId;
    standIn.engine.restore(standIn.engine.backUp());
    expect((await store.state()).unwrap().storeId).not.toBe(before);
  });
});
