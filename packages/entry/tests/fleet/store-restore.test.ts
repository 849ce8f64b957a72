/**
 * Incident: the platform's store came back from a copy some seconds old, and hosts went on by the revisions that they knew from before. On
 * 98f0271 a confirmed change and a target's farewell were then at no host until the store's count had passed the former one, and the
 * hosts that watch read everything again and again without a pause.
 */
import { describe, expect, it } from 'vitest';
import {
  allOf,
  makeFleet,
  putTarget,
  restoreFromSnapshot,
  restoreWithLeavingTarget,
  collectSamples,
  hostsUsing,
  versions,
} from './restore-fleet.js';

/** By when a change is to be in force, and hosts' records to be back. */
const IN_FORCE_MILLISECONDS = 2_000;
/** Silent targets' records go from the store after this. */
const THREE_HEARTBEATS_MILLISECONDS = 4_500;
/** Hosts that read everything anew after a return, whatever the size of the fleet. */
const MOST_LISTINGS = 10;
const TEST_MILLISECONDS = 120_000;

describe('after the store came back from a copy', { timeout: TEST_MILLISECONDS }, () => {
  const storms = [
    { hosts: 4, domains: 2, changes: 1 },
    { hosts: 12, domains: 6, changes: 3 },
    { hosts: 12, domains: 6, changes: 40 },
    { hosts: 75, domains: 6, changes: 3 },
  ];
  it.each(storms)(
    'a change that is confirmed then is in force at all of $hosts hosts within 2 s, $changes changes having been lost',
    async ({ hosts, domains, changes }) => {
      const { clock, fleet } = await makeFleet({ hosts, domains });
      const writeAgain = await restoreFromSnapshot({
        clock,
        fleet,
        since: () => {
          for (let version = 4; version < 4 + changes; version++) {
            fleet.configure(version);
          }
        },
      });
      await clock.advance(300);
      writeAgain();
      await clock.advance(700);
      fleet.configure(100);
      await clock.advance(IN_FORCE_MILLISECONDS);
      expect(versions(fleet)).toEqual(allOf(fleet, 100));
    },
  );

  it('a target that says then that it leaves gets no new work from any host within 2 s', async () => {
    const { clock, fleet } = await makeFleet();
    putTarget(fleet, 'leaver', 'ready', 1);
    await clock.advance(1_000);
    await restoreFromSnapshot({
      clock,
      fleet,
      since: () => {
        fleet.configure(4);
        fleet.configure(5);
      },
    });
    await clock.advance(1_000);
    putTarget(fleet, 'leaver', 'draining', 9);
    await clock.advance(IN_FORCE_MILLISECONDS);
    expect(hostsUsing(fleet, 'leaver')).toEqual([]);
  });

  it.each([
    { hosts: 12, domains: 6, isHistoryLost: false },
    { hosts: 75, domains: 6, isHistoryLost: false },
    { hosts: 75, domains: 6, isHistoryLost: true },
  ])(
    'few of $hosts hosts read everything anew, once (history lost: $isHistoryLost)',
    async ({ hosts, domains, isHistoryLost }) => {
      const { clock, fleet } = await makeFleet({ hosts, domains });
      const before = fleet.store.calls.list;
      await restoreFromSnapshot({
        clock,
        fleet,
        isHistoryLost,
        since: () => {
          fleet.configure(4);
          fleet.configure(5);
        },
      });
      await clock.advance(10_000);
      expect(fleet.store.calls.list - before).toBeLessThanOrEqual(MOST_LISTINGS);
    },
  );

  it('no host goes back to an older configuration, though the store holds one for seconds', async () => {
    const { clock, fleet } = await makeFleet();
    const writeAgain = await restoreFromSnapshot({
      clock,
      fleet,
      since: () => {
        fleet.configure(4);
      },
    });
    const samples = await collectSamples(clock, 6_000, () =>
      Math.min(...versions(fleet).map(Number)),
    );
    expect(Math.min(...samples)).toBe(4);
    writeAgain();
    fleet.configure(5);
    await clock.advance(IN_FORCE_MILLISECONDS);
    expect(versions(fleet)).toEqual(allOf(fleet, 5));
  });

  it('a host that starts then never serves the older configuration that the store holds', async () => {
    const { clock, fleet } = await makeFleet();
    await restoreFromSnapshot({
      clock,
      fleet,
      since: () => {
        fleet.configure(4);
      },
    });
    await clock.advance(500);
    fleet.addHost();
    const samples = await collectSamples(clock, 3_000, () => versions(fleet).at(-1));
    expect(samples.at(-1)).toBe(4);
    expect(samples.filter((version) => version === 3)).toEqual([]);
  });

  it.each([1, 2])(
    'a host that was cut off from all through %i of its returns knows what the others know within 2 s',
    async (returns) => {
      const { clock, fleet } = await makeFleet();
      fleet.setCut(0, true);
      fleet.setStoreCut(0, true);
      for (let index = 0; index < returns; index++) {
        const since = (): void => {
          fleet.configure(4 + index);
        };
        const writeAgain = await restoreFromSnapshot({ clock, fleet, since });
        await clock.advance(1_000);
        if (index < returns - 1) {
          writeAgain();
        }
      }
      fleet.setStoreCut(0, false);
      await clock.advance(1_000);
      fleet.setCut(0, false);
      await clock.advance(IN_FORCE_MILLISECONDS);
      expect(versions(fleet)).toEqual(allOf(fleet, 3 + returns));
    },
  );

  it.each([1, 2, 3, 4])(
    'hosts that the store has forgotten are in it again within 2 s, and nobody leaves them out meanwhile (seed %i)',
    async (seed) => {
      const { clock, fleet } = await makeFleet({ seed });
      const since = async (): Promise<void> => {
        fleet.addHost();
        fleet.addHost();
        await clock.advance(3_000);
      };
      await restoreFromSnapshot({ clock, fleet, since, awayMilliseconds: 0 });
      const known = await collectSamples(clock, IN_FORCE_MILLISECONDS, () =>
        Math.min(...fleet.hosts.map(({ member }) => member.hostNames.length)),
      );
      const listing = (await Promise.all([fleet.store.list(), clock.advance(50)]))[0].unwrap();
      const recorded = listing.changes.filter(({ record }) => record?.kind === 'entryHost');
      expect(recorded).toHaveLength(fleet.hosts.length);
      expect(Math.min(...known)).toBe(fleet.hosts.length);
    },
  );

  it('a host that does not come back is given up by all, also by one that starts then and hears of it from the others', async () => {
    const { clock, fleet } = await makeFleet();
    const since = async (): Promise<void> => {
      fleet.addHost();
      await clock.advance(3_000);
    };
    await restoreFromSnapshot({ clock, fleet, since });
    const [gone] = fleet.hosts.splice(-1);
    await Promise.all([gone?.member.close(), clock.advance(700)]);
    fleet.addHost(20);
    await clock.advance(1_000);
    const knowing = (): number =>
      fleet.hosts.filter(({ member }) => member.hostNames.includes('host-12')).length;
    expect(knowing()).toBe(fleet.hosts.length);
    await clock.advance(20_000);
    expect(knowing()).toBe(0);
  });

  it('no lease of its former life is renewed or ended, whose number may be another host’s by now', async () => {
    const { clock, fleet } = await makeFleet();
    const since = async (): Promise<void> => {
      fleet.addHost();
      await clock.advance(3_000);
    };
    await restoreFromSnapshot({ clock, fleet, since });
    await clock.advance(1_000);
    const learnedAt = clock.now();
    void fleet.hosts.at(-1)?.member.leave();
    await clock.advance(15_000);
    expect(fleet.store.formerLeaseCalls.filter((at) => at > learnedAt)).toEqual([]);
  });

  it('a target that left is not used again since the copy still has it', async () => {
    const { clock, fleet } = await restoreWithLeavingTarget({ isGone: true });
    const used = await collectSamples(clock, THREE_HEARTBEATS_MILLISECONDS, () =>
      hostsUsing(fleet, 'leaver'),
    );
    fleet.store.remove('targets/leaver');
    used.push(...(await collectSamples(clock, 3_000, () => hostsUsing(fleet, 'leaver'))));
    expect(used.flat()).toEqual([]);
  });

  it('a target that is leaving is not free again since the copy has an older record of its start', async () => {
    const { clock, fleet } = await restoreWithLeavingTarget({ isGone: false });
    const used = await collectSamples(clock, 2_000, () => hostsUsing(fleet, 'leaver'));
    fleet.addHost();
    used.push(...(await collectSamples(clock, 2_000, () => hostsUsing(fleet, 'leaver'))));
    expect(used.flat()).toEqual([]);
  });

  it('a target that left is not free again where the copy’s record of it outlasts all who might write again', async () => {
    const { clock, fleet } = await restoreWithLeavingTarget({ isGone: true });
    const used = await collectSamples(clock, 12_000, () => hostsUsing(fleet, 'leaver'));
    expect(used.flat()).toEqual([]);
  });

  it('an evacuation that was asked for since the copy goes on, and one that was ended does not begin again', async () => {
    const { clock, fleet } = await makeFleet();
    fleet.store.put('evacuate/domain-1', { kind: 'evacuation', failureDomain: 'domain-1' });
    await clock.advance(1_000);
    const since = (): void => {
      fleet.store.remove('evacuate/domain-1');
      fleet.store.put('evacuate/domain-0', { kind: 'evacuation', failureDomain: 'domain-0' });
    };
    const writeAgain = await restoreFromSnapshot({ clock, fleet, since });
    const evacuated = (): string[] =>
      fleet.hosts.flatMap(({ member }) => [...member.state.evacuatedDomains]);
    const expected = allOf(fleet, 'domain-0');
    const before = await collectSamples(clock, 1_500, evacuated);
    writeAgain();
    const after = await collectSamples(clock, 6_000, evacuated);
    expect([...before, ...after].filter((domains) => domains.join() !== expected.join())).toEqual(
      [],
    );
  });

  it('and does not say so, a change that is confirmed then is in force within 4 s, and nobody reads without a pause', async () => {
    const { clock, fleet } = await makeFleet();
    fleet.store.epoch = undefined;
    await restoreFromSnapshot({
      clock,
      fleet,
      since: () => {
        for (let version = 4; version < 20; version++) {
          fleet.configure(version);
        }
      },
    });
    await clock.advance(1_000);
    const before = fleet.store.calls.list;
    fleet.configure(30);
    await clock.advance(4_000);
    expect(versions(fleet)).toEqual(allOf(fleet, 30));
    expect(fleet.store.calls.list - before).toBeLessThan(4 * fleet.hosts.length);
  });
});
