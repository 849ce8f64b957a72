/**
 * Guards against changes of the configuration that come late because hosts send each other more
 * than their links or a datagram carry.
 */
import type { EntryEvent } from '../../src/index.js';
import { EntryFleet, FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';

const SETTLE_MILLISECONDS = 6_000;
const CHANGE_INTERVAL_MILLISECONDS = 100;
const SAMPLE_MILLISECONDS = 20;
/** Bound on the time from the store's confirmation of a change until all hosts go by it. */
const BOUND_MILLISECONDS = 2_000;
const TEST_MILLISECONDS = 120_000;
/** 7 Mbit/s and 140 Mbit/s. */
const NARROW_LINK_BYTES_PER_SECOND = 875_000;
const WIDE_LINK_BYTES_PER_SECOND = 17_500_000;

interface StormOptions {
  readonly hosts: number;
  readonly routes: number;
  readonly changes: number;
  /** Called once the storm has begun. */
  readonly disturb?: (fleet: EntryFleet) => void;
  /** Hosts that need not follow or hear others, as they are cut off. */
  readonly isExempt?: (host: string) => boolean;
}

/** Changes the configuration in quick succession and returns what became of it. */
async function playStorm({ hosts, routes, changes, ...options }: StormOptions) {
  const { disturb = () => undefined, isExempt = () => false } = options;
  const clock = new FakeClock();
  const silent: Extract<EntryEvent, { event: 'peer' }>[] = [];
  const fleet = new EntryFleet({
    clock,
    hosts,
    domains: 6,
    largeHostsPerDomain: 1,
    targetsPerService: 6,
    services: 2,
    seed: 1,
    linkBytesPerSecond: ({ capacity }) =>
      capacity > 1 ? WIDE_LINK_BYTES_PER_SECOND : NARROW_LINK_BYTES_PER_SECOND,
    onEvent: (host, event) => {
      const isLost = event.event === 'peer' && !event.alive;
      if (isLost && !isExempt(event.peer) && !isExempt(host)) {
        silent.push(event);
      }
    },
  });
  fleet.start();
  await clock.advance(SETTLE_MILLISECONDS);
  fleet.configure(2, routes);
  await clock.advance(SETTLE_MILLISECONDS);
  silent.length = 0;
  const before = { ...fleet.counts };
  disturb(fleet);
  const confirmedAt = new Map<number, number>();
  let lastVersion = 2;
  let worstMilliseconds = 0;
  const steps =
    (changes * CHANGE_INTERVAL_MILLISECONDS + SETTLE_MILLISECONDS) / SAMPLE_MILLISECONDS;
  for (let step = 0; step < steps; step++) {
    const isChange = step % (CHANGE_INTERVAL_MILLISECONDS / SAMPLE_MILLISECONDS) === 0;
    if (isChange && lastVersion < changes + 2) {
      lastVersion++;
      fleet.configure(lastVersion, routes);
      confirmedAt.set(lastVersion, clock.now());
    }
    await clock.advance(SAMPLE_MILLISECONDS);
    for (const { record, member } of fleet.hosts) {
      const nextVersion = (member.state.active?.version ?? 0) + 1;
      const since = confirmedAt.get(nextVersion);
      if (since !== undefined && !isExempt(record.name)) {
        worstMilliseconds = Math.max(worstMilliseconds, clock.now() - since);
      }
    }
  }
  const seconds = (steps * SAMPLE_MILLISECONDS) / 1_000;
  const bytes = fleet.counts.bytes + fleet.counts.callBytes - before.bytes - before.callBytes;
  return {
    worstMilliseconds,
    silent: silent.length,
    refusedDatagrams: fleet.counts.refusedDatagrams,
    bytesPerHostAndSecond: bytes / hosts / seconds,
  };
}

describe('a storm of changes of the configuration', { timeout: TEST_MILLISECONDS }, () => {
  it.each([
    { hosts: 12, routes: 30 },
    { hosts: 75, routes: 30 },
    // 870 KB, close to what the store takes for one value.
    { hosts: 12, routes: 3_000, changes: 20 },
  ])('is in force in time at each of $hosts hosts, $routes routes', async (size) => {
    const { worstMilliseconds, silent, refusedDatagrams } = await playStorm({
      changes: 50,
      ...size,
    });
    expect({ silent, refusedDatagrams }).toEqual({ silent: 0, refusedDatagrams: 0 });
    expect(worstMilliseconds).toBeLessThan(BOUND_MILLISECONDS);
  });

  it('does not make datagrams too large while a relay is cut off', async () => {
    const cut = 'host-6';
    const { worstMilliseconds, silent, refusedDatagrams } = await playStorm({
      hosts: 12,
      routes: 30,
      changes: 50,
      disturb: (fleet) => {
        fleet.network.setCut(cut, true);
      },
      isExempt: (host) => host === cut,
    });
    expect(refusedDatagrams).toBe(0);
    expect(silent).toBe(0);
    expect(worstMilliseconds).toBeLessThan(BOUND_MILLISECONDS);
  });
});
