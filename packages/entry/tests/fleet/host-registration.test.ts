import { FakeClock, MemoryFleetStore } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { afterEach, describe, expect, it } from 'vitest';
import { HostRegistration, restoreSpreadMilliseconds } from '../../src/fleet/host-registration.js';
import { captureEvents, makeHostRecord } from '../fixtures.js';

/** By when hosts' records are to be back after the store's return. */
const BACK_MILLISECONDS = 2_000;

function makeRegistration(seed = 1, name = 'host-1') {
  const clock = new FakeClock();
  return { clock, ...register(new MemoryFleetStore(clock), clock, seed, name) };
}

function register(store: MemoryFleetStore, clock: FakeClock, seed: number, name: string) {
  const { log } = captureEvents();
  const registration = new HostRegistration({
    clock,
    random: new SeededRandom(seed),
    events: log,
    store,
    host: makeHostRecord({ name }),
    hosts: () => 12,
  });
  registration.start();
  return { store, registration };
}

async function recorded(store: MemoryFleetStore, clock: FakeClock): Promise<string[]> {
  const [listing] = await Promise.all([store.list(), clock.advance(10)]);
  return listing.unwrap().changes.map(({ key }) => key);
}

describe('HostRegistration', () => {
  let close: (() => Promise<void>) | undefined;

  afterEach(() => close?.());

  it.each([1, 2, 3])(
    'writes itself again within 2 s where the store came back without it (seed %i)',
    async (seed) => {
      const { clock, store, registration } = makeRegistration(seed);
      close = () => registration.close();
      const copy = store.takeCopy();
      await clock.advance(1_000);
      store.restore(copy);
      registration.recordRestore();
      await clock.advance(BACK_MILLISECONDS);
      expect(await recorded(store, clock)).toEqual(['hosts/host-1']);
      expect(store.formerLeaseCalls).toEqual([]);
    },
  );

  it('keeps its record and its lease where they came back with the copy, and writes nothing', async () => {
    const { clock, store, registration } = makeRegistration();
    close = () => registration.close();
    await clock.advance(1_000);
    const copy = store.takeCopy();
    await clock.advance(1_000);
    store.restore(copy);
    const before = store.calls.write;
    registration.recordRestore();
    await clock.advance(30_000);
    expect(store.calls.write).toBe(before);
    expect(await recorded(store, clock)).toEqual(['hosts/host-1']);
    expect(store.formerLeaseCalls).toEqual([]);
  });

  it('does not take a lease for its own whose number another host has by now', async () => {
    const { clock, store, registration } = makeRegistration();
    close = () => registration.close();
    const copy = store.takeCopy();
    await clock.advance(1_000);
    store.restore(copy);
    const other = register(store, clock, 2, 'host-2').registration;
    await clock.advance(100);
    registration.recordRestore();
    await clock.advance(BACK_MILLISECONDS);
    expect(await recorded(store, clock)).toEqual(['hosts/host-2', 'hosts/host-1']);
    await Promise.all([registration.stop(), clock.advance(100)]);
    expect(await recorded(store, clock)).toEqual(['hosts/host-2']);
    await other.close();
  });

  it('learns from the answer to a renewal too that the store came back', async () => {
    const { clock, store, registration } = makeRegistration();
    close = () => registration.close();
    await clock.advance(1_000);
    const copy = store.takeCopy();
    store.restore(copy);
    await clock.advance(20_000);
    expect(store.formerLeaseCalls).toHaveLength(1);
    expect(store.calls.find).toBe(1);
  });

  it('looks again and again for a record that the store does not tell of, as while it is away', async () => {
    const { clock, store, registration } = makeRegistration();
    close = () => registration.close();
    const copy = store.takeCopy();
    await clock.advance(1_000);
    store.restore(copy);
    store.setAway(true);
    registration.recordRestore();
    await clock.advance(5_000);
    store.setAway(false);
    await clock.advance(BACK_MILLISECONDS);
    expect(await recorded(store, clock)).toEqual(['hosts/host-1']);
  });

  it('spreads the hosts of a large fleet, so that they ask for at most some 170 records a second', () => {
    expect(restoreSpreadMilliseconds(12)).toBeLessThan(BACK_MILLISECONDS);
    expect(restoreSpreadMilliseconds(300)).toBeLessThanOrEqual(BACK_MILLISECONDS);
    expect(4_600 / restoreSpreadMilliseconds(4_600)).toBeLessThan(0.17);
  });
});
