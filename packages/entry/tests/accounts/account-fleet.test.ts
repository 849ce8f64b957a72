/**
 * Load: 80 client accounts over 65 hosts, most of which have no callers. What one host lets run is to be known to all
 * soon: quiet hosts report and hear least often, every 0.4 and 0.8 s, and accounts at rest are to cost nothing.
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

/** Lets a host run so many requests of an account; tells how many might. */
function take(fleet: EntryFleet, host: number, account: ClientAccount, count: number): number {
  const duty = fleet.hosts[host]?.member.accounts;
  let ran = 0;
  for (let asked = 0; asked < count; asked++) {
    ran += duty?.acquire(account) === undefined ? 1 : 0;
  }
  return ran;
}

describe('client accounts in a fleet', { timeout: TEST_MILLISECONDS }, () => {
  const account = makeLimitedAccount(40, 'account-0');

  it('are known by their use to every host within one and a half seconds', async () => {
    const { clock, fleet } = await makeFleet(ACCOUNTS);
    const ran = [0, 7, HOSTS - 1].map((host) => take(fleet, host, account, 20));
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

  it('are held to their limits by hosts that had no callers before', async () => {
    const { clock, fleet } = await makeFleet(ACCOUNTS);
    let ran = 0;
    for (let round = 0; round < 20; round++) {
      for (let host = 0; host < HOSTS; host++) {
        ran += take(fleet, host, account, 1);
      }
      await clock.advance(200);
    }
    expect(ran).toBeLessThanOrEqual(240 * 1.1 + 20);
    expect(ran).toBeGreaterThan(0.8 * 240);
  });

  it('are told of out of turn in a rush alone, not where small ones go up and down by chance', async () => {
    const small = ACCOUNTS.map(({ name }) => makeLimitedAccount(8, name));
    const { clock, fleet } = await makeFleet(small);
    const random = new SeededRandom(1);
    /** Asks for each account's rate, at any host, for some seconds. */
    const ask = async (seconds: number): Promise<void> => {
      for (let step = 0; step < seconds * 20; step++) {
        await clock.advance(50);
        for (const account of small) {
          if (random.next() < 8 * 0.05) {
            take(fleet, randomIndex(random, HOSTS), account, 1);
          }
        }
      }
    };
    await ask(6);
    const before = fleet.counts.datagrams;
    await ask(4);
    expect((fleet.counts.datagrams - before) / HOSTS / 4).toBeLessThan(11);
  });

  it('cost nothing at rest', async () => {
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
