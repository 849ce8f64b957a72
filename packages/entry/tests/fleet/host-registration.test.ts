import { FakeClock, MemoryFleetStore } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { afterEach, describe, expect, it } from 'vitest';
import { HostRegistration, restoreSpreadMilliseconds } from '../../src/fleet/host-registration.js';
import { captureEvents, makeHostRecord } from '../fixtures.js';

/** Bound on the registration of hosts after a restore. */
const REGISTRATION_BOUND_MILLISECONDS = 2_000;

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

async function registeredKeys(store: MemoryFleetStore, clock: FakeClock): Promise<string[]> {
  const [listing] = await Promise.all([store.list(), clock.advance(10)]);
  return listing.unwrap().changes.map(({ key }) => key);
}

describe('HostRegistration', () => {
  let close: (() => Promise<void>) | undefined;

  afterEach(() => close?.());

  it.each([1, 2, 3])(
    'registers again within 2 s if the restored store has lost the registration (seed %i)',
    async (seed) => {
      const { clock, store, registration } = makeRegistration(seed);
      close = () => registration.close();
      const snapshot = store.takeCopy();
      await clock.advance(1_000);
      store.restore(snapshot);
      registration.recordRestore();
      await clock.advance(REGISTRATION_BOUND_MILLISECONDS);
      expect(await registeredKeys(store, clock)).toEqual(['hosts/host-1']);
      expect(store.formerLeaseCalls).toEqual([]);
    },
  );

  it('keeps a registration and lease that the snapshot contains, without a write', async () => {
    const { clock, store, registration } = makeRegistration();
    close = () => registration.close();
    await clock.advance(1_000);
    const snapshot = store.takeCopy();
    await clock.advance(1_000);
    store.restore(snapshot);
    const before = store.calls.write;
    registration.recordRestore();
    await clock.advance(30_000);
    expect(store.calls.write).toBe(before);
    expect(await registeredKeys(store, clock)).toEqual(['hosts/host-1']);
    expect(store.formerLeaseCalls).toEqual([]);
  });

  it('does not use a lease whose id belongs to another host after the restore', async () => {
    const { clock, store, registration } = makeRegistration();
    close = () => registration.close();
    const snapshot = store.takeCopy();
    await clock.advance(1_000);
    store.restore(snapshot);
    const other = register(store, clock, 2, 'host-2').registration;
    await clock.advance(100);
    registration.recordRestore();
    await clock.advance(REGISTRATION_BOUND_MILLISECONDS);
    expect(await registeredKeys(store, clock)).toEqual(['hosts/host-2', 'hosts/host-1']);
    await Promise.all([registration.stop(), clock.advance(100)]);
    expect(await registeredKeys(store, clock)).toEqual(['hosts/host-2']);
    await other.close();
  });

  it('detects a restore by the response to a renewal', async () => {
    const { clock, store, registration } = makeRegistration();
    close = () => registration.close();
    await clock.advance(1_000);
    const snapshot = store.takeCopy();
    store.restore(snapshot);
    await clock.advance(20_000);
    expect(store.formerLeaseCalls).toHaveLength(1);
    expect(store.calls.find).toBe(1);
  });

  it('retries the lookup of its registration while the store is unavailable', async () => {
    const { clock, store, registration } = makeRegistration();
    close = () => registration.close();
    const snapshot = store.takeCopy();
    await clock.advance(1_000);
    store.restore(snapshot);
    store.setAway(true);
    registration.recordRestore();
    await clock.advance(5_000);
    store.setAway(false);
    await clock.advance(REGISTRATION_BOUND_MILLISECONDS);
    expect(await registeredKeys(store, clock)).toEqual(['hosts/host-1']);
  });

  it('spreads the lookups of a large fleet to at most about 170 a second', () => {
    expect(restoreSpreadMilliseconds(12)).toBeLessThan(REGISTRATION_BOUND_MILLISECONDS);
    expect(restoreSpreadMilliseconds(300)).toBeLessThanOrEqual(REGISTRATION_BOUND_MILLISECONDS);
    expect(4_600 / restoreSpreadMilliseconds(4_600)).toBeLessThan(0.17);
  });
});
