// Guards against hosts that each take the whole of what a cold target bears, since each knows too few others.
import { EntryFleet, FakeClock } from '@ferrylock/test-utils';
import { expect, it } from 'vitest';
import { largeHosts } from '../../src/fleet/large-hosts.js';

const HOSTS = 12;
const SERVICE = 'service-0';
const STEP_MILLISECONDS = 10;
const SETTLE_MILLISECONDS = 14_000;
const STEPS_PER_SECOND = 1_000 / STEP_MILLISECONDS;
const COLD_REQUESTS_PER_SECOND = 9.9;
/** What a cold target bears in a second, by the platform's overage and slack. */
const MAX_REQUESTS_IN_SECOND = 1.5 * COLD_REQUESTS_PER_SECOND + 5;

/** Requests of all hosts to one cold target, by step, as all hosts ask for it all the time. */
async function sendToColdTarget(fleet: EntryFleet, clock: FakeClock, seconds: number) {
  const sent: number[] = [];
  const senders = new Map<unknown, string[]>();
  for (let step = 0; step < seconds * STEPS_PER_SECOND; step++) {
    await clock.advance(STEP_MILLISECONDS);
    const granted = fleet.hosts.filter(({ member, record }) => {
      const names = largeHosts(member.recentHosts, (host) => host).map(({ name }) => name);
      const known = names.length > 0 ? names : [...member.hostNames];
      senders.set(member.recentHosts, senders.get(member.recentHosts) ?? known);
      return member.state.service(SERVICE)?.coldStartLimiter.tryAcquire({
        target: 'cold',
        requestsPerSecond: COLD_REQUESTS_PER_SECOND,
        ownName: record.name,
        hosts: senders.get(member.recentHosts) ?? known,
      });
    });
    sent.push(granted.length);
  }
  return sent;
}

it('cold targets get no more than they bear while all entries of hosts have lapsed', async () => {
  const clock = new FakeClock();
  const fleet = new EntryFleet({
    clock,
    hosts: HOSTS,
    domains: 6,
    largeHostsPerDomain: HOSTS,
    targetsPerService: 20,
    services: 1,
    seed: 1,
  });
  fleet.start();
  await clock.advance(SETTLE_MILLISECONDS);
  fleet.store.lapseLeases();
  const sent = await sendToColdTarget(fleet, clock, 6);
  const inSecond = sent.map((_, step) =>
    sent.slice(step, step + STEPS_PER_SECOND).reduce((sum, count) => sum + count, 0),
  );
  expect(Math.max(...inSecond)).toBeLessThanOrEqual(MAX_REQUESTS_IN_SECOND);
});
