/**
 * Guards against hosts that ignore changes after a restore of the store, because its revisions are
 * lower than those known, and against watchers that relist without a pause.
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

/** Bound on the propagation of changes and on the registration of lost hosts. */
const IN_FORCE_MILLISECONDS = 2_000;
/** Time after which records of unavailable targets are deleted. */
const RECORD_EXPIRY_MILLISECONDS = 4_500;
/** Bound on listings after a restore, for any size of the fleet. */
const MAX_LISTINGS = 10;
const TEST_MILLISECONDS = 120_000;

describe('after a restore of the store from a snapshot', { timeout: TEST_MILLISECONDS }, () => {
  const cases = [
    { hosts: 4, domains: 2, changes: 1 },
    { hosts: 12, domains: 6, changes: 3 },
    { hosts: 12, domains: 6, changes: 40 },
    { hosts: 75, domains: 6, changes: 3 },
  ];
  it.each(cases)(
    'a confirmed change is in force at all of $hosts hosts within 2 s, with $changes lost changes',
    async ({ hosts, domains, changes }) => {
      const { clock, fleet } = await makeFleet({ hosts, domains });
      const rewrite = await restoreFromSnapshot({
        clock,
        fleet,
        afterSnapshot: () => {
          for (let version = 4; version < 4 + changes; version++) {
            fleet.configure(version);
          }
        },
      });
      await clock.advance(300);
      rewrite();
      await clock.advance(700);
      fleet.configure(100);
      await clock.advance(IN_FORCE_MILLISECONDS);
      expect(versions(fleet)).toEqual(allOf(fleet, 100));
    },
  );

  it('a target that announces its leaving receives no new requests after 2 s', async () => {
    const { clock, fleet } = await makeFleet();
    putTarget(fleet, 'leaver', 'ready', 1);
    await clock.advance(1_000);
    await restoreFromSnapshot({
      clock,
      fleet,
      afterSnapshot: () => {
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
    'few of $hosts hosts list the store again (history lost: $isHistoryLost)',
    async ({ hosts, domains, isHistoryLost }) => {
      const { clock, fleet } = await makeFleet({ hosts, domains });
      const before = fleet.store.calls.list;
      await restoreFromSnapshot({
        clock,
        fleet,
        isHistoryLost,
        afterSnapshot: () => {
          fleet.configure(4);
          fleet.configure(5);
        },
      });
      await clock.advance(10_000);
      expect(fleet.store.calls.list - before).toBeLessThanOrEqual(MAX_LISTINGS);
    },
  );

  it('no host reverts to the older configuration in the store', async () => {
    const { clock, fleet } = await makeFleet();
    const rewrite = await restoreFromSnapshot({
      clock,
      fleet,
      afterSnapshot: () => {
        fleet.configure(4);
      },
    });
    const samples = await collectSamples(clock, 6_000, () =>
      Math.min(...versions(fleet).map(Number)),
    );
    expect(Math.min(...samples)).toBe(4);
    rewrite();
    fleet.configure(5);
    await clock.advance(IN_FORCE_MILLISECONDS);
    expect(versions(fleet)).toEqual(allOf(fleet, 5));
  });

  it('a host that starts never serves the older configuration in the store', async () => {
    const { clock, fleet } = await makeFleet();
    await restoreFromSnapshot({
      clock,
      fleet,
      afterSnapshot: () => {
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
    'a host that was partitioned during %i restores catches up within 2 s',
    async (restores) => {
      const { clock, fleet } = await makeFleet();
      fleet.setCut(0, true);
      fleet.setStoreCut(0, true);
      for (let index = 0; index < restores; index++) {
        const afterSnapshot = (): void => {
          fleet.configure(4 + index);
        };
        const rewrite = await restoreFromSnapshot({ clock, fleet, afterSnapshot });
        await clock.advance(1_000);
        if (index < restores - 1) {
          rewrite();
        }
      }
      fleet.setStoreCut(0, false);
      await clock.advance(1_000);
      fleet.setCut(0, false);
      await clock.advance(IN_FORCE_MILLISECONDS);
      expect(versions(fleet)).toEqual(allOf(fleet, 3 + restores));
    },
  );

  it.each([1, 2, 3, 4])(
    'hosts that the store has lost register within 2 s and stay known meanwhile (seed %i)',
    async (seed) => {
      const { clock, fleet } = await makeFleet({ seed });
      const afterSnapshot = async (): Promise<void> => {
        fleet.addHost();
        fleet.addHost();
        await clock.advance(3_000);
      };
      await restoreFromSnapshot({ clock, fleet, afterSnapshot, outageMilliseconds: 0 });
      const known = await collectSamples(clock, IN_FORCE_MILLISECONDS, () =>
        Math.min(...fleet.hosts.map(({ member }) => member.hostNames.length)),
      );
      const listing = (await Promise.all([fleet.store.list(), clock.advance(50)]))[0].unwrap();
      const recorded = listing.changes.filter(({ record }) => record?.kind === 'entryHost');
      expect(recorded).toHaveLength(fleet.hosts.length);
      expect(Math.min(...known)).toBe(fleet.hosts.length);
    },
  );

  it('all hosts drop a host that does not return, including one that learned of it from peers', async () => {
    const { clock, fleet } = await makeFleet();
    const afterSnapshot = async (): Promise<void> => {
      fleet.addHost();
      await clock.advance(3_000);
    };
    await restoreFromSnapshot({ clock, fleet, afterSnapshot });
    const [lost] = fleet.hosts.splice(-1);
    await Promise.all([lost?.member.close(), clock.advance(700)]);
    fleet.addHost(20);
    await clock.advance(1_000);
    const hostsKnowing = (): number =>
      fleet.hosts.filter(({ member }) => member.hostNames.includes('host-12')).length;
    expect(hostsKnowing()).toBe(fleet.hosts.length);
    await clock.advance(20_000);
    expect(hostsKnowing()).toBe(0);
  });

  it('no lease of a previous epoch is renewed or revoked, as its id may belong to another host', async () => {
    const { clock, fleet } = await makeFleet();
    const afterSnapshot = async (): Promise<void> => {
      fleet.addHost();
      await clock.advance(3_000);
    };
    await restoreFromSnapshot({ clock, fleet, afterSnapshot });
    await clock.advance(1_000);
    const learnedAt = clock.now();
    void fleet.hosts.at(-1)?.member.leave();
    await clock.advance(15_000);
    expect(fleet.store.formerLeaseCalls.filter((at) => at > learnedAt)).toEqual([]);
  });

  it('a target that left is not used again because the snapshot contains it', async () => {
    const { clock, fleet } = await restoreWithLeavingTarget({ isDeleted: true });
    const used = await collectSamples(clock, RECORD_EXPIRY_MILLISECONDS, () =>
      hostsUsing(fleet, 'leaver'),
    );
    fleet.store.remove('targets/leaver');
    used.push(...(await collectSamples(clock, 3_000, () => hostsUsing(fleet, 'leaver'))));
    expect(used.flat()).toEqual([]);
  });

  it('a leaving target is not used again because the snapshot has an older record of it', async () => {
    const { clock, fleet } = await restoreWithLeavingTarget({ isDeleted: false });
    const used = await collectSamples(clock, 2_000, () => hostsUsing(fleet, 'leaver'));
    fleet.addHost();
    used.push(...(await collectSamples(clock, 2_000, () => hostsUsing(fleet, 'leaver'))));
    expect(used.flat()).toEqual([]);
  });

  it('a target that left is not used again while its record in the snapshot outlasts the grace period', async () => {
    const { clock, fleet } = await restoreWithLeavingTarget({ isDeleted: true });
    const used = await collectSamples(clock, 12_000, () => hostsUsing(fleet, 'leaver'));
    expect(used.flat()).toEqual([]);
  });

  it('an evacuation after the snapshot continues, and one that ended does not resume', async () => {
    const { clock, fleet } = await makeFleet();
    fleet.store.put('evacuate/domain-1', { kind: 'evacuation', failureDomain: 'domain-1' });
    await clock.advance(1_000);
    const afterSnapshot = (): void => {
      fleet.store.remove('evacuate/domain-1');
      fleet.store.put('evacuate/domain-0', { kind: 'evacuation', failureDomain: 'domain-0' });
    };
    const rewrite = await restoreFromSnapshot({ clock, fleet, afterSnapshot });
    const evacuated = (): string[] =>
      fleet.hosts.flatMap(({ member }) => [...member.state.evacuatedDomains]);
    const expected = allOf(fleet, 'domain-0');
    const before = await collectSamples(clock, 1_500, evacuated);
    rewrite();
    const after = await collectSamples(clock, 6_000, evacuated);
    expect([...before, ...after].filter((domains) => domains.join() !== expected.join())).toEqual(
      [],
    );
  });

  it('that is not reported, a confirmed change is in force within 4 s, without listings in a loop', async () => {
    const { clock, fleet } = await makeFleet();
    fleet.store.epoch = undefined;
    await restoreFromSnapshot({
      clock,
      fleet,
      afterSnapshot: () => {
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
