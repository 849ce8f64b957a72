// Guards against hosts that together earn more than the whole slack since each knows too few others.
import { EntryFleet, FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';

const FLEETS = [
  { hosts: 12, largeHostsPerDomain: 2 },
  { hosts: 65, largeHostsPerDomain: 3 },
];
const SERVICE = 'service-0';
const STEP_MILLISECONDS = 100;
const SETTLE_MILLISECONDS = 14_000;
const WINDOW_MILLISECONDS = 10_000;
const TEST_MILLISECONDS = 60_000;
/** A window may grant 0.65 of the slack and what is saved, 0.45 of that; the rest is for the sum of parts. */
const MAX_MEAN_SUM = 1 / (0.65 * 1.45);

describe.each(FLEETS)(
  'parts of the slack at $hosts hosts',
  { timeout: TEST_MILLISECONDS },
  (size) => {
    let fleet: EntryFleet;
    let clock: FakeClock;

    const start = async (): Promise<void> => {
      clock = new FakeClock();
      fleet = new EntryFleet({
        ...size,
        clock,
        domains: 6,
        targetsPerService: 20,
        services: 1,
        seed: 1,
      });
      fleet.start();
      await clock.advance(SETTLE_MILLISECONDS);
      fleet.addCallers(320, 100);
      await clock.advance(SETTLE_MILLISECONDS);
    };

    /** Sums of all hosts' parts in the next window, one for each step. */
    const sumsOfNextWindow = async (): Promise<number[]> => {
      const sums: number[] = [];
      for (let passed = 0; passed < WINDOW_MILLISECONDS; passed += STEP_MILLISECONDS) {
        await clock.advance(STEP_MILLISECONDS);
        const services = fleet.hosts.map(({ member }) => member.state.service(SERVICE));
        const parts = services.map((service) => service?.retryBudget.state.slackShare ?? 0);
        sums.push(parts.reduce((sum, part) => sum + part, 0));
      }
      return sums;
    };

    const meanOf = (sums: readonly number[]): number =>
      sums.reduce((total, sum) => total + sum, 0) / sums.length;

    it('add up to the whole in calm', async () => {
      await start();
      const mean = meanOf(await sumsOfNextWindow());
      expect(mean).toBeGreaterThan(0.9);
      expect(mean).toBeLessThanOrEqual(MAX_MEAN_SUM);
    });

    it('do not grow while all entries have lapsed', async () => {
      await start();
      fleet.store.lapseLeases();
      await clock.advance(STEP_MILLISECONDS);
      const known = fleet.hosts.map(({ member }) => member.hostNames.length);
      expect(Math.min(...known)).toBeLessThan(size.hosts / 2);
      const sums = await sumsOfNextWindow();
      expect(meanOf(sums)).toBeLessThanOrEqual(MAX_MEAN_SUM);
    });

    it('do not grow while a failure domain is cut off', async () => {
      await start();
      const cut = fleet.hosts.filter(({ record }) => record.failureDomain === 'domain-0');
      for (const { number } of cut) {
        fleet.setCut(number, true);
      }
      const sums = await sumsOfNextWindow();
      expect(meanOf(sums)).toBeLessThanOrEqual(MAX_MEAN_SUM);
    });
  },
);
