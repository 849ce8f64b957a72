/**
 * Guards against changes that come late because the hosts that watch the store fail, and the others
 * notice it late.
 */
import { EntryFleet, FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';

const SETTLE_MILLISECONDS = 6_000;
const SAMPLE_MILLISECONDS = 10;
const DOWN_MILLISECONDS = 5_000;
/** Tightest bound of a deployment on the time until all hosts go by a change. */
const BOUND_MILLISECONDS = 2_000;

/** Ends all large hosts, among them the watchers, right before a change; returns its delay. */
async function delayAfterLoss(phaseMilliseconds: number): Promise<number> {
  const clock = new FakeClock();
  const fleet = new EntryFleet({
    clock,
    hosts: 12,
    domains: 6,
    largeHostsPerDomain: 1,
    targetsPerService: 6,
    services: 2,
    seed: 1,
  });
  fleet.start();
  await clock.advance(SETTLE_MILLISECONDS + phaseMilliseconds);
  const largest = Math.max(...fleet.hosts.map(({ record }) => record.capacity));
  const rest = fleet.hosts.filter(({ record }) => record.capacity < largest);
  for (const [place, { record }] of fleet.hosts.entries()) {
    if (record.capacity === largest) {
      void fleet.restartHost(place, DOWN_MILLISECONDS);
    }
  }
  fleet.configure(2, 30);
  const startedAt = clock.now();
  while (rest.some(({ member }) => member.state.active?.version !== 2)) {
    await clock.advance(SAMPLE_MILLISECONDS);
  }
  return clock.now() - startedAt;
}

describe('a change right after the loss of half of the hosts and all watchers', () => {
  it.each([0, 150, 300, 450, 600, 750, 900])('is in force in time, phase %i ms', async (phase) => {
    const d = await delayAfterLoss(phase);
    console.log('DELAY', d);
    expect(d).toBeLessThan(BOUND_MILLISECONDS);
  });
});
