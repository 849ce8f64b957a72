/**
 * Guards against hosts that reach no target and are named to callers all the same, and against
 * their lost requests' keeping the other hosts from using targets that have room.
 */
import { EntryFleet, FakeClock } from '@ferrylock/test-utils';
import type { EntryEvent } from '@ferrylock/entry';
import { describe, expect, it } from 'vitest';

const SETTLE_MILLISECONDS = 4_000;
const WORK_MILLISECONDS = 300;
/** Bound on the time until all hosts know of a host that reaches no target, or reaches them again. */
const KNOWN_MILLISECONDS = 2_000;
const TEST_MILLISECONDS = 60_000;

interface FleetChoice {
  readonly hosts: number;
  readonly largeHostsPerDomain: number;
  readonly domains?: number;
  readonly perSecond: number;
}

async function makeFleet({ hosts, largeHostsPerDomain, domains = 6, perSecond }: FleetChoice) {
  const clock = new FakeClock();
  const events: { host: string; event: EntryEvent }[] = [];
  const fleet = new EntryFleet({
    clock,
    hosts,
    domains,
    largeHostsPerDomain,
    targetsPerService: 12,
    services: 2,
    seed: 1,
    onEvent: (host, event) => events.push({ host, event }),
  });
  fleet.start();
  await clock.advance(SETTLE_MILLISECONDS);
  fleet.addCallers(perSecond, WORK_MILLISECONDS);
  await clock.advance(SETTLE_MILLISECONDS);
  return { clock, fleet, events };
}

/** Number of other hosts that name a host to callers. */
function countNaming(fleet: EntryFleet, name: string): number {
  return fleet.hosts.filter(({ member, record }) => {
    const named = member.hosts.find((host) => host.name === name);
    return record.name !== name && named !== undefined && member.peers.isServing(named);
  }).length;
}

describe('a fleet of which some hosts reach no target', { timeout: TEST_MILLISECONDS }, () => {
  it.each([
    ['one of 12', 12, 2, [3]],
    ['two of one failure domain of 12', 12, 2, [1, 7]],
    ['all but one of 12', 12, 2, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10]],
    ['two of 65', 65, 3, [0, 11]],
  ])(
    'names them nowhere within two seconds, and again within two: %s',
    async (_case, hosts, largeHostsPerDomain, cut) => {
      const { clock, fleet } = await makeFleet({
        hosts,
        largeHostsPerDomain,
        perSecond: 10 * hosts,
      });
      const withCallers = fleet.hosts.filter(({ record }) => record.capacity > 1);
      const chosen = cut.map((place) => fleet.hosts.findIndex((one) => one === withCallers[place]));
      const names = chosen.map((index) => fleet.hosts[index]?.record.name ?? '');
      const naming = (): number[] => names.map((name) => countNaming(fleet, name));
      expect(naming()).toEqual(names.map(() => hosts - 1));
      for (const index of chosen) {
        fleet.setTargetsCut(index, true);
      }
      await clock.advance(KNOWN_MILLISECONDS);
      expect(naming()).toEqual(names.map(() => 0));
      for (const index of chosen) {
        fleet.setTargetsCut(index, false);
      }
      await clock.advance(KNOWN_MILLISECONDS);
      expect(naming()).toEqual(names.map(() => hosts - 1));
    },
  );

  it('learns it of a host without callers when the first come', async () => {
    const { clock, fleet } = await makeFleet({ hosts: 65, largeHostsPerDomain: 3, perSecond: 650 });
    const index = fleet.hosts.findIndex(({ record }) => record.capacity < 1);
    const host = fleet.hosts[index];
    fleet.setTargetsCut(index, true);
    await clock.advance(KNOWN_MILLISECONDS);
    expect(countNaming(fleet, host?.record.name ?? '')).toBe(64);
    fleet.addCallersAt(index, 10, WORK_MILLISECONDS);
    await clock.advance(KNOWN_MILLISECONDS);
    expect(countNaming(fleet, host?.record.name ?? '')).toBe(0);
  });

  it('lets the others use their targets in full while three of four hosts are cut', async () => {
    const { clock, fleet } = await makeFleet({
      hosts: 4,
      domains: 2,
      largeHostsPerDomain: 2,
      perSecond: 400,
    });
    const before = fleet.refusedAt.get('host-3') ?? 0;
    for (const { record } of fleet.hosts.filter(({ record: { name } }) => name !== 'host-3')) {
      fleet.setTargetsCut(
        fleet.hosts.findIndex((host) => host.record.name === record.name),
        true,
      );
    }
    await clock.advance(KNOWN_MILLISECONDS);
    const known = fleet.refusedAt.get('host-3') ?? 0;
    await clock.advance(8_000);
    expect(before).toBe(0);
    expect((fleet.refusedAt.get('host-3') ?? 0) - known).toBe(0);
  });

  it('writes one line at each host that begins to reach none, and none at the others', async () => {
    const { clock, fleet, events } = await makeFleet({
      hosts: 12,
      largeHostsPerDomain: 2,
      perSecond: 120,
    });
    fleet.setTargetsCut(3, true);
    await clock.advance(5_000);
    const lines = events.filter(({ event }) => event.event === 'reachability');
    expect(lines.map(({ host }) => host)).toEqual([fleet.hosts[3]?.record.name]);
  });

  it('believes no such thing of a calm fleet with two requests a second', async () => {
    const { clock, fleet, events } = await makeFleet({
      hosts: 12,
      largeHostsPerDomain: 2,
      perSecond: 2,
    });
    await clock.advance(60_000);
    expect(fleet.refused).toBe(0);
    expect(events.filter(({ event }) => event.event.includes('reachability'))).toEqual([]);
  });
});
