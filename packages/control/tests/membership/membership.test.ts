import { ControlFleet } from '@ferrylock/test-utils';
import type { ControlNode } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { isServing, memberKey } from '../../src/index.js';

const DOMAIN = { domains: 1, hostsPerDomain: 8 };

/** Distinct states of a daemon in the member tables of the others. */
function statesSeen(fleet: ControlFleet, node: ControlNode): string[] {
  const key = memberKey(node.membership.self);
  const others = fleet.nodes.filter((other) => other !== node);
  return [...new Set(others.map((other) => other.membership.members.get(key)?.state ?? 'gone'))];
}

describe('Membership', () => {
  it('lists all members of the own domain and the contacts of other domains', async () => {
    const fleet = await ControlFleet.start({
      domains: 4,
      hostsPerDomain: 8,
      groupBy: 'failureDomain',
    });
    for (const node of fleet.nodes) {
      expect(node.membership.members.running()).toHaveLength(8);
      expect(node.membership.domains.reachableContacts()).toHaveLength(3 * 6);
    }
    fleet.stop();
  });

  it('detects a dead host', async () => {
    const fleet = await ControlFleet.start(DOMAIN);
    const victim = fleet.node(3);
    fleet.kill(victim);
    await fleet.clock.advance(25_000);
    expect(statesSeen(fleet, victim)).toEqual(['dead']);
    fleet.stop();
  });

  it.each([200, 2_000])('keeps a member that repeatedly pauses for %i ms', async (pause) => {
    const fleet = await ControlFleet.start(DOMAIN);
    const paused = fleet.node(3);
    for (let round = 0; round < 5; round++) {
      paused.process.pause();
      await fleet.clock.advance(pause);
      paused.process.resume();
      await fleet.clock.advance(3_000);
      expect(statesSeen(fleet, paused)).not.toContain('dead');
    }
    await fleet.clock.advance(10_000);
    expect(statesSeen(fleet, paused)).toEqual(['alive']);
    fleet.stop();
  });

  it('readmits a member that was declared dead during a long pause', async () => {
    const fleet = await ControlFleet.start(DOMAIN);
    const paused = fleet.node(3);
    paused.process.pause();
    await fleet.clock.advance(40_000);
    expect(statesSeen(fleet, paused)).toEqual(['dead']);
    paused.process.resume();
    await fleet.clock.advance(20_000);
    expect(statesSeen(fleet, paused)).toEqual(['alive']);
    fleet.stop();
  });

  it('declares no live member dead at 1 % message loss', async () => {
    const fleet = await ControlFleet.start(DOMAIN);
    fleet.network.faults.lossShare = 0.01;
    for (let second = 0; second < 120; second++) {
      await fleet.clock.advance(1_000);
      for (const node of fleet.nodes) {
        expect(statesSeen(fleet, node)).not.toContain('dead');
      }
    }
    fleet.stop();
  });

  it('replaces the earlier incarnation of a restarted host', async () => {
    const fleet = await ControlFleet.start(DOMAIN);
    const before = fleet.node(3);
    fleet.kill(before);
    const after = fleet.startHost(3);
    await fleet.clock.advance(8_000);
    expect(statesSeen(fleet, before).every((state) => state !== 'alive')).toBe(true);
    expect(statesSeen(fleet, after)).toEqual(['alive']);
    fleet.stop();
  });

  it('stops listing a member that announces that it leaves', async () => {
    const fleet = await ControlFleet.start(DOMAIN);
    const leaving = fleet.node(3);
    void leaving.membership.announceLeaving();
    await fleet.clock.advance(4_000);
    const key = memberKey(leaving.membership.self);
    for (const node of fleet.nodes.filter((other) => other !== leaving)) {
      const seen = node.membership.members.get(key);
      expect(seen !== undefined && isServing(seen)).toBe(false);
    }
    fleet.stop();
  });

  it('marks a member as leaving when the host list does', async () => {
    const fleet = await ControlFleet.start(DOMAIN);
    const leaving = fleet.node(3);
    fleet.listed = fleet.listed.map((host) =>
      host.id === leaving.id ? { ...host, state: 'leaving' } : host,
    );
    await fleet.clock.advance(12_000);
    expect(statesSeen(fleet, leaving)).toEqual(['leaving']);
    fleet.stop();
  });

  it.each([
    ['an empty host list', () => []],
    [
      'a host list of nonexistent hosts',
      (fleet: ControlFleet) =>
        fleet.listed.map((host, index) => ({
          ...host,
          id: `ghost-${index}`,
          controlAddress: `10.9.9.${index}:8081`,
        })),
    ],
  ])('keeps its members with %s', async (_name, wrong) => {
    const fleet = await ControlFleet.start(DOMAIN);
    fleet.listed = wrong(fleet);
    await fleet.clock.advance(30_000);
    for (const node of fleet.nodes) {
      expect(node.membership.members.running()).toHaveLength(8);
    }
    fleet.stop();
  });

  it('merges after a partition without a burst of calls', async () => {
    const fleet = await ControlFleet.start({
      domains: 2,
      hostsPerDomain: 8,
      groupBy: 'failureDomain',
    });
    const left = new Set(fleet.nodes.slice(0, 4).map((node) => node.address));
    fleet.network.setRule((from, to) => left.has(from) === left.has(to));
    await fleet.clock.advance(120_000);
    expect(fleet.node(0).membership.members.running()).toHaveLength(4);
    fleet.network.heal();
    const callsBefore = fleet.network.counts.calls;
    await fleet.clock.advance(30_000);
    const callsPerSecond = (fleet.network.counts.calls - callsBefore) / 30 / fleet.nodes.length;
    for (const node of fleet.nodes) {
      expect(node.membership.members.running()).toHaveLength(8);
    }
    expect(callsPerSecond).toBeLessThan(8);
    fleet.stop();
  });
});
