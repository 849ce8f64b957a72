import { ControlFleet } from '@ferrylock/test-utils';
import type { ControlNode } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';

const FLEET = { domains: 3, hostsPerDomain: 4 };

async function change(fleet: ControlFleet, node: ControlNode, basedOn: number): Promise<boolean> {
  const outcome = node.configuration.apply(
    { account: 'atec', changeId: `change-${basedOn}`, basedOn, author: 'op', kind: 'apply' },
    ControlFleet.declaration('atec', basedOn % 10),
  );
  await fleet.clock.advance(20);
  return (await outcome).isOk();
}

function generations(fleet: ControlFleet): number[] {
  return [...new Set(fleet.nodes.map((node) => node.replica.generation('atec')))];
}

/** Starts a fleet at generation 2, with a backup of its store at generation 1. */
async function startBackedUp() {
  const fleet = await ControlFleet.start(FLEET);
  await change(fleet, fleet.node(0), 0);
  const backup = fleet.engine.backUp();
  await change(fleet, fleet.node(0), 1);
  await fleet.clock.advance(1_000);
  return { fleet, backup };
}

function storedGeneration({ engine }: ControlFleet): number | undefined {
  const text = engine.get('ferrylock/configuration/atec')?.value ?? '{}';
  return (JSON.parse(text) as { generation?: number }).generation;
}

/** Advances until every daemon has the generation; returns the time taken, or undefined. */
async function timeUntilInForce(
  fleet: ControlFleet,
  generation: number,
  timeout: number,
): Promise<number | undefined> {
  const startedAt = fleet.clock.now();
  while (fleet.clock.now() - startedAt < timeout) {
    if (generations(fleet).join() === String(generation)) {
      return fleet.clock.now() - startedAt;
    }
    await fleet.clock.advance(20);
  }
  return undefined;
}

describe('ConfigurationSync', () => {
  it('replicates a change within 1 s with two watchers per domain', async () => {
    const fleet = await ControlFleet.start(FLEET);
    expect(fleet.engine.watcherCount).toBe(6);
    expect(await change(fleet, fleet.node(5), 0)).toBe(true);
    expect(await timeUntilInForce(fleet, 1, 1_000)).toBeDefined();
    fleet.stop();
  });

  it('replicates a change within 3 s at 10 % lost or duplicated messages', async () => {
    const fleet = await ControlFleet.start(FLEET);
    fleet.network.faults.lossShare = 0.1;
    fleet.network.faults.duplicateShare = 0.1;
    for (let basedOn = 0; basedOn < 5; basedOn++) {
      expect(await change(fleet, fleet.node(0), basedOn)).toBe(true);
      expect(await timeUntilInForce(fleet, basedOn + 1, 3_000)).toBeDefined();
    }
    fleet.stop();
  });

  it('replaces failed watchers without a lasting surplus', async () => {
    const fleet = await ControlFleet.start(FLEET);
    fleet.nodes
      .filter((node) => node.sync.watching && node.membership.self.failureDomain === 'domain-1')
      .forEach((node) => {
        fleet.kill(node);
      });
    await fleet.clock.advance(30_000);
    const watching = fleet.nodes.filter((node) => node.sync.watching);
    expect(watching).toHaveLength(6);
    expect(await change(fleet, fleet.node(0), 0)).toBe(true);
    expect(await timeUntilInForce(fleet, 1, 1_000)).toBeDefined();
    fleet.stop();
  });

  it('synchronizes a new host from its peers while the store is down', async () => {
    const fleet = await ControlFleet.start(FLEET);
    await change(fleet, fleet.node(0), 0);
    await fleet.clock.advance(2_000);
    fleet.engine.setDown(true);
    const [victim] = fleet.nodes;
    if (victim !== undefined) {
      fleet.kill(victim);
    }
    const started = fleet.startHost(0);
    expect(started.sync.ready).toBe(false);
    await fleet.clock.advance(5_000);
    expect(started.sync.ready).toBe(true);
    expect(started.replica.generation('atec')).toBe(1);
    fleet.stop();
  });

  it('is not ready without store and peers', async () => {
    const fleet = await ControlFleet.start({ domains: 1, hostsPerDomain: 1 }, 0);
    fleet.engine.setDown(true);
    await fleet.clock.advance(60_000);
    expect(fleet.node(0).sync.ready).toBe(false);
    fleet.stop();
  });

  it('keeps the newer configuration and writes it back to a store restored from a backup', async () => {
    const { fleet, backup } = await startBackedUp();
    fleet.engine.restore(backup);
    await fleet.clock.advance(10_000);
    expect(generations(fleet)).toEqual([2]);
    expect(storedGeneration(fleet)).toBe(2);
    fleet.stop();
  });

  it('writes lost documents back to a restored store with the same id and a later revision', async () => {
    const { fleet, backup } = await startBackedUp();
    fleet.engine.restore(backup, { keepsId: true });
    for (let count = 0; count < 20; count++) {
      fleet.engine.compareAndSwap({ key: `other/${count}`, expectedRevision: 0, value: '' });
    }
    await fleet.clock.advance(10_000);
    expect(generations(fleet)).toEqual([2]);
    expect(storedGeneration(fleet)).toBe(2);
    fleet.stop();
  });

  it('does not use the older configuration of a restored store at a new daemon with newer peers', async () => {
    const { fleet, backup } = await startBackedUp();
    fleet.kill(fleet.node(11));
    fleet.nodes.forEach((node) => {
      node.store.setCutOff(true);
    });
    fleet.engine.restore(backup);
    const started = fleet.startHost(11);
    const usedGenerations = new Set<number>();
    for (let elapsed = 0; elapsed < 10_000; elapsed += 20) {
      await fleet.clock.advance(20);
      if (started.sync.ready) {
        usedGenerations.add(started.replica.generation('atec'));
      }
    }
    expect([...usedGenerations]).toEqual([2]);
    fleet.stop();
  });

  it('reports the age of the configuration and stays ready while the store is down', async () => {
    const fleet = await ControlFleet.start(FLEET);
    await change(fleet, fleet.node(0), 0);
    await fleet.clock.advance(5_000);
    expect(Math.max(...fleet.nodes.map((node) => node.sync.ageMilliseconds))).toBeLessThan(10_000);
    fleet.engine.setDown(true);
    await fleet.clock.advance(60_000);
    expect(Math.min(...fleet.nodes.map((node) => node.sync.ageMilliseconds))).toBeGreaterThan(
      50_000,
    );
    expect(fleet.nodes.every((node) => node.sync.ready)).toBe(true);
    fleet.engine.setDown(false);
    await fleet.clock.advance(30_000);
    expect(Math.max(...fleet.nodes.map((node) => node.sync.ageMilliseconds))).toBeLessThan(15_000);
    fleet.stop();
  });

  it('updates a domain after a partition from all others', async () => {
    const fleet = await ControlFleet.start(FLEET);
    const cutOff = fleet.nodes.filter((node) => node.membership.self.failureDomain === 'domain-3');
    const inside = new Set(cutOff.map((node) => node.address));
    fleet.network.setRule((from, to) => inside.has(from) === inside.has(to));
    cutOff.forEach((node) => {
      node.store.setCutOff(true);
    });
    await change(fleet, fleet.node(0), 0);
    await fleet.clock.advance(60_000);
    expect(cutOff.map((node) => node.replica.generation('atec'))).toEqual([0, 0, 0, 0]);
    fleet.network.heal();
    cutOff.forEach((node) => {
      node.store.setCutOff(false);
    });
    expect(await timeUntilInForce(fleet, 1, 15_000)).toBeDefined();
    fleet.stop();
  });
});
