import { ControlFleet } from '@ferrylock/test-utils';
import type { ControlFleetOptions, ControlNode } from '@ferrylock/test-utils';
import { randomIndex } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';

const FLEET: ControlFleetOptions = { domains: 6, hostsPerDomain: 2 };
const LIMIT = { key: 'link-requests/atec/test', units: 1_000_000 };

async function startFleet(seed = 1): Promise<{ fleet: ControlFleet; everStarted: ControlNode[] }> {
  const fleet = await ControlFleet.start({ ...FLEET, seed });
  fleet.nodes.forEach((node) => {
    node.register.replace('atec', [LIMIT]);
  });
  return { fleet, everStarted: [...fleet.nodes] };
}

/** Units that all daemons may use in total, including dead and paused ones. */
function usableUnits(nodes: readonly ControlNode[]): number {
  return nodes.reduce((sum, node) => sum + node.ledger.usable(LIMIT.key), 0);
}

async function advanceChecking(
  fleet: ControlFleet,
  nodes: readonly ControlNode[],
  milliseconds: number,
): Promise<void> {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 1_000) {
    await fleet.clock.advance(1_000);
    expect(usableUnits(nodes)).toBeLessThanOrEqual(LIMIT.units);
  }
}

describe('positions', () => {
  it('are all in use, one per host, soon after the start', async () => {
    const { fleet } = await startFleet();
    expect(fleet.nodes.map((node) => node.positions.positions.length)).toEqual(Array(12).fill(1));
    expect(usableUnits(fleet.nodes)).toBe(LIMIT.units);
    fleet.stop();
  });

  it('are rebalanced when hosts join', async () => {
    const fleet = new ControlFleet(FLEET);
    fleet.startHost(0);
    fleet.startHost(5);
    await fleet.clock.advance(20_000);
    expect(fleet.nodes.map((node) => node.positions.positions.length)).toEqual([6, 6]);
    fleet.startHost(11);
    fleet.nodes.forEach((node) => {
      node.register.replace('atec', [LIMIT]);
    });
    await advanceChecking(fleet, fleet.nodes, 30_000);
    expect(fleet.nodes.map((node) => node.positions.positions.length)).toEqual([4, 4, 4]);
    fleet.stop();
  });

  it('of a dead host are reused, but not before it must have stopped using them', async () => {
    const { fleet, everStarted } = await startFleet();
    const victim = fleet.node(4);
    fleet.kill(victim);
    await advanceChecking(fleet, everStarted, 60_000);
    expect(usableUnits(fleet.nodes)).toBeLessThan(LIMIT.units);
    await advanceChecking(fleet, everStarted, 180_000);
    expect(usableUnits(fleet.nodes)).toBe(LIMIT.units);
    fleet.stop();
  });

  it('of a restarted host are reclaimed by its next process after its loans have expired', async () => {
    const { fleet, everStarted } = await startFleet();
    fleet.kill(fleet.node(4));
    const restarted = fleet.startHost(4);
    restarted.register.replace('atec', [LIMIT]);
    const running = everStarted.filter((node) => node.id !== restarted.id);
    await advanceChecking(fleet, [...running, restarted], 12_000);
    expect(restarted.positions.positions).toHaveLength(1);
    expect(restarted.ledger.usable(LIMIT.key)).toBeGreaterThan(0);
    fleet.stop();
  });

  it('of a paused host are unusable when it resumes', async () => {
    const { fleet, everStarted } = await startFleet();
    const paused = fleet.node(4);
    paused.process.pause();
    await advanceChecking(fleet, everStarted, 240_000);
    paused.process.resume();
    expect(paused.ledger.usable(LIMIT.key)).toBe(0);
    await advanceChecking(fleet, everStarted, 60_000);
    expect(usableUnits(fleet.nodes)).toBe(LIMIT.units);
    fleet.stop();
  });

  it('stay in use through an outage of the store of any length', async () => {
    const { fleet, everStarted } = await startFleet();
    fleet.engine.setDown(true);
    await advanceChecking(fleet, everStarted, 300_000);
    expect(usableUnits(fleet.nodes)).toBe(LIMIT.units);
    fleet.stop();
  });

  it('stay in use at the other hosts when one dies during an outage of the store', async () => {
    const { fleet, everStarted } = await startFleet();
    fleet.engine.setDown(true);
    fleet.kill(fleet.node(4));
    await advanceChecking(fleet, everStarted, 200_000);
    expect(usableUnits(fleet.nodes)).toBeGreaterThanOrEqual((LIMIT.units * 11) / 12 - 12);
    fleet.stop();
  });

  it('of a partitioned region are never in use on both sides', async () => {
    const { fleet, everStarted } = await startFleet();
    const inside = new Set(fleet.nodes.slice(0, 4).map((node) => node.address));
    fleet.network.setRule((from, to) => inside.has(from) === inside.has(to));
    fleet.nodes.slice(0, 4).forEach((node) => {
      node.store.setCutOff(true);
    });
    await advanceChecking(fleet, everStarted, 300_000);
    fleet.network.heal();
    fleet.nodes.forEach((node) => {
      node.store.setCutOff(false);
    });
    await advanceChecking(fleet, everStarted, 60_000);
    expect(usableUnits(fleet.nodes)).toBe(LIMIT.units);
    fleet.stop();
  });

  it('are released at a planned stop and reused at once', async () => {
    const { fleet } = await startFleet();
    const leaving = fleet.node(4);
    void leaving.membership.announceLeaving();
    await fleet.clock.advance(2_000);
    await leaving.positions.giveAllBack();
    void leaving.membership.announceGone();
    await fleet.clock.advance(10_000);
    const others = fleet.nodes.filter((node) => node !== leaving);
    expect(usableUnits(others)).toBe(LIMIT.units);
    fleet.stop();
  });

  it.each([
    ['another id', false],
    ['the same id', true],
  ])(
    'are neither lost nor held twice after a restore of an older store under %s',
    async (_case, keepsId) => {
      const { fleet, everStarted } = await startFleet();
      const backup = fleet.engine.backUp();
      fleet.kill(fleet.node(4));
      await advanceChecking(fleet, everStarted, 240_000);
      fleet.engine.restore(backup, { keepsId });
      await advanceChecking(fleet, everStarted, 300_000);
      expect(usableUnits(fleet.nodes)).toBe(LIMIT.units);
      fleet.stop();
    },
  );

  it('are not held twice after a restore under the same id from before they were claimed', async () => {
    const { fleet, everStarted } = await startFleet();
    fleet.kill(fleet.node(4));
    await advanceChecking(fleet, everStarted, 5_000);
    const empty = { values: new Map(), revision: 1 };
    fleet.engine.restore(empty, { keepsId: true });
    await advanceChecking(fleet, everStarted, 300_000);
    expect(usableUnits(fleet.nodes)).toBe(LIMIT.units);
    fleet.stop();
  });

  it.each([1, 2, 3, 4])(
    'never add up to more than the limit under seeded faults, seed %i',
    async (seed) => {
      const { fleet, everStarted } = await startFleet(seed);
      const { random } = fleet;
      for (let round = 0; round < 12; round++) {
        injectFault(fleet, everStarted, randomIndex(random, 9));
        await advanceChecking(fleet, everStarted, 5_000 + randomIndex(random, 30_000));
      }
      fleet.network.heal();
      fleet.network.faults.lossShare = 0;
      fleet.network.faults.duplicateShare = 0;
      fleet.engine.setDown(false);
      fleet.engine.faults.loseWriteReplies = false;
      everStarted.forEach((node) => {
        node.process.resume();
        node.store.setCutOff(false);
      });
      await advanceChecking(fleet, everStarted, 300_000);
      expect(usableUnits(fleet.nodes)).toBe(LIMIT.units);
      fleet.stop();
    },
  );
});

/** Starts or ends the fault with the given number. */
function injectFault(fleet: ControlFleet, everStarted: ControlNode[], choice: number): void {
  const node = fleet.node(randomIndex(fleet.random, fleet.nodes.length));
  switch (choice) {
    case 0:
      if (fleet.nodes.length > 6) {
        fleet.kill(node);
      }
      return;
    case 1: {
      // The previous process has ended, so its units cannot be in use.
      const index = Number(node.id.slice(-4));
      fleet.kill(node);
      everStarted.splice(everStarted.indexOf(node), 1);
      const restarted = fleet.startHost(index);
      restarted.register.replace('atec', [LIMIT]);
      everStarted.push(restarted);
      return;
    }
    case 2:
      node.process.pause();
      return;
    case 3:
      node.process.resume();
      return;
    case 4:
      node.store.setCutOff(!node.store.cutOff);
      return;
    case 5:
      fleet.engine.setDown(!fleet.engine.faults.down);
      return;
    case 6:
      fleet.engine.faults.loseWriteReplies = !fleet.engine.faults.loseWriteReplies;
      return;
    case 7:
      fleet.network.setRule((from, to) => from !== node.address && to !== node.address);
      return;
    default:
      fleet.network.heal();
      fleet.network.faults.lossShare = 0.05;
      fleet.network.faults.duplicateShare = 0.1;
  }
}
