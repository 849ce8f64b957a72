/**
 * Guards against late reports of account usage between hosts, and against traffic of idle accounts.
 */
import type { ClientAccount } from '@ferrylock/routing';
import { EntryFleet, FakeClock, makeLimitedAccount } from '@ferrylock/test-utils';
import { randomIndex, SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';

const HOSTS = 65;
const SETTLE_MILLISECONDS = 4_000;
const TEST_MILLISECONDS = 60_000;

const ACCOUNTS = Array.from({ length: 80 }, (_, index) =>
  makeLimitedAccount(40, `account-${index}`),
);

async function makeFleet(accounts?: readonly ClientAccount[]) {
  const clock = new FakeClock();
  const fleet = new EntryFleet({
    clock,
    hosts: HOSTS,
    domains: 6,
    largeHostsPerDomain: 3,
    targetsPerService: 20,
    services: 3,
    seed: 1,
    ...(accounts === undefined ? {} : { accounts }),
  });
  fleet.start();
  await clock.advance(SETTLE_MILLISECONDS);
  return { clock, fleet };
}

/** Charges a number of requests to an account at one host; returns how many were admitted. */
function acquire(fleet: EntryFleet, host: number, account: ClientAccount, count: number): number {
  const controller = fleet.hosts[host]?.member.accounts;
  let ran = 0;
  for (let asked = 0; asked < count; asked++) {
    ran += controller?.acquire(account) === undefined ? 1 : 0;
  }
  return ran;
}

describe('client accounts in a fleet', { timeout: TEST_MILLISECONDS }, () => {
  const account = makeLimitedAccount(40, 'account-0');

  it('have their usage known to every host within one and a half seconds', async () => {
    const { clock, fleet } = await makeFleet(ACCOUNTS);
    const ran = [0, 7, HOSTS - 1].map((host) => acquire(fleet, host, account, 20));
    const total = ran.reduce((sum, count) => sum + count, 0);
    expect(total).toBeGreaterThanOrEqual(40);
    await clock.advance(1_500);
    for (const { member } of fleet.hosts) {
      const known =
        member.accounts.usage.others(account.name).used +
        (member.accounts.quotas.usedBy(account.name) ?? 0);
      expect(known).toBeGreaterThanOrEqual(total);
      expect(known).toBeLessThanOrEqual(total + 20);
    }
  });

  it('are limited by hosts that had no callers before', async () => {
    const { clock, fleet } = await makeFleet(ACCOUNTS);
    let ran = 0;
    for (let round = 0; round < 20; round++) {
      for (let host = 0; host < HOSTS; host++) {
        ran += acquire(fleet, host, account, 1);
      }
      await clock.advance(200);
    }
    expect(ran).toBeLessThanOrEqual(240 * 1.1 + 20);
    expect(ran).toBeGreaterThan(0.8 * 240);
  });

  it('do not cause immediate reports when usage of small accounts fluctuates', async () => {
    const small = ACCOUNTS.map(({ name }) => makeLimitedAccount(8, name));
    const { clock, fleet } = await makeFleet(small);
    const random = new SeededRandom(1);
    /** Sends requests at each account's rate to random hosts for some seconds. */
    const sendRequests = async (seconds: number): Promise<void> => {
      for (let step = 0; step < seconds * 20; step++) {
        await clock.advance(50);
        for (const account of small) {
          if (random.next() < 8 * 0.05) {
            acquire(fleet, randomIndex(random, HOSTS), account, 1);
          }
        }
      }
    };
    await sendRequests(6);
    const before = fleet.counts.datagrams;
    await sendRequests(4);
    expect((fleet.counts.datagrams - before) / HOSTS / 4).toBeLessThan(11);
  });

  it('cause no traffic while idle', async () => {
    const bytesOf = async (accounts?: readonly ClientAccount[]): Promise<number> => {
      const { clock, fleet } = await makeFleet(accounts);
      const before = fleet.counts.bytes;
      await clock.advance(5_000);
      return (fleet.counts.bytes - before) / HOSTS / 5;
    };
    const [bare, withAccounts] = [await bytesOf(), await bytesOf(ACCOUNTS)];
    expect(Math.abs(withAccounts - bare)).toBeLessThan(200);
  });
});
