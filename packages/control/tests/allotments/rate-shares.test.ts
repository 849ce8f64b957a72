import { ControlFleet } from '@ferrylock/test-utils';
import { randomIndex } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { RATE_LOAN_MILLISECONDS, RATE_UNITS } from '../../src/index.js';

const LIMIT = 'link-requests/atec/cap';
const CAP = 1_000;

async function startFleet(seed: number): Promise<ControlFleet> {
  const fleet = await ControlFleet.start({ domains: 3, hostsPerDomain: 2, seed });
  fleet.nodes.forEach((node) => {
    node.register.replace('atec', [{ key: LIMIT, units: RATE_UNITS }]);
  });
  return fleet;
}

function usable(fleet: ControlFleet): number[] {
  return fleet.nodes.map((node) => node.ledger.usable(LIMIT));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Generates demand at hosts in the given proportions and checks the sum continuously. */
async function runDemand(
  fleet: ControlFleet,
  weights: readonly number[],
  milliseconds: number,
): Promise<void> {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 20) {
    fleet.nodes.forEach((node, index) => {
      node.rates.recordDemand(LIMIT, CAP, (weights[index] ?? 0) / 50);
    });
    await fleet.clock.advance(20);
    expect(sum(usable(fleet))).toBeLessThanOrEqual(RATE_UNITS);
  }
}

describe('RateShares', () => {
  it('moves a limit to the host where the demand is', async () => {
    const fleet = await startFleet(1);
    await runDemand(fleet, [900, 5, 5, 5, 5, 5], 15_000);
    expect(usable(fleet)[0]).toBeGreaterThan(RATE_UNITS * 0.85);
    fleet.stop();
  });

  it('returns lent shares to hosts when their demand rises', async () => {
    const fleet = await startFleet(1);
    await runDemand(fleet, [900, 5, 5, 5, 5, 5], 15_000);
    await runDemand(fleet, [900, 200, 200, 200, 200, 200], 15_000);
    for (const units of usable(fleet).slice(1)) {
      expect(units).toBeGreaterThan(RATE_UNITS * 0.13);
    }
    fleet.stop();
  });

  it('recovers the loans of a dead borrower when they expire', async () => {
    const fleet = await startFleet(1);
    await runDemand(fleet, [900, 5, 5, 5, 5, 5], 15_000);
    fleet.kill(fleet.node(0));
    await fleet.clock.advance(RATE_LOAN_MILLISECONDS + 500);
    expect(sum(usable(fleet))).toBeGreaterThan(RATE_UNITS * 0.8);
    fleet.stop();
  });

  it.each([1, 2, 3])(
    'never exceeds the limit with lost, late or duplicated messages, seed %i',
    async (seed) => {
      const fleet = await startFleet(seed);
      const { random, network } = fleet;
      network.faults.lossShare = 0.1;
      network.faults.duplicateShare = 0.3;
      network.faults.delayMilliseconds = () => random.next() * 150;
      for (let round = 0; round < 20; round++) {
        const busy = randomIndex(random, 6);
        const paused = fleet.node(randomIndex(random, 6));
        paused.process.pause();
        await runDemand(
          fleet,
          [0, 1, 2, 3, 4, 5].map((host) => (host === busy ? 900 : 20)),
          1_500,
        );
        paused.process.resume();
      }
      fleet.stop();
    },
  );
});
