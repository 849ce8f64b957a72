import { FakeClock, makeLimitedAccount } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { AccountQuota, AccountQuotas } from '../../src/index.js';
import type { PeerVisibility, UsageElsewhere } from '../../src/index.js';

const BOUND = { windowMilliseconds: 5_000, overage: 0.1, slack: 20 };
const ACCOUNT = makeLimitedAccount(40);
const NOBODY: UsageElsewhere = { used: 0, demandPerSecond: 0 };
const HEARD: PeerVisibility = {
  isAlone: true,
  peerReportAgeMilliseconds: 0,
  isolatedShare: 0.1,
  unaccountedShare: 0,
};

function makeQuota(account = ACCOUNT) {
  const clock = new FakeClock();
  const quota = new AccountQuota(account, clock, new SeededRandom(1), BOUND);
  /** Asks so many times at once; tells how many may run. */
  const ask = (count: number, others = NOBODY, fleet = HEARD): number => {
    let ran = 0;
    for (let asked = 0; asked < count; asked++) {
      ran += quota.acquire(others, fleet) === undefined ? 1 : 0;
    }
    return ran;
  };
  return { clock, quota, ask };
}

describe('AccountQuota', () => {
  it('uses the whole limit at one host, and never what may come on top', () => {
    const ran = makeQuota().ask(1_000);
    expect(ran).toBeGreaterThanOrEqual(0.98 * 240);
    expect(ran).toBeLessThan(240 * 1.1 + 20);
  });

  it('counts what others have used', () => {
    const { ask } = makeQuota();
    expect(ask(1_000, { used: 200, demandPerSecond: 0 })).toBeLessThan(240 * 1.1 + 20 - 200);
    expect(ask(1, { used: 400, demandPerSecond: 0 })).toBe(0);
  });

  it('lets a quarter of the limit run at once where there are others, who may be flooded too', async () => {
    const { clock, ask } = makeQuota();
    const fleet = { ...HEARD, isAlone: false };
    expect(ask(1_000, NOBODY, fleet)).toBe(Math.floor(0.25 * 248));
    await clock.advance(1_000);
    expect(ask(1_000, NOBODY, fleet)).toBe(Math.floor(0.25 * 248));
  });

  it('has room again after the window', async () => {
    const { clock, ask } = makeQuota();
    ask(1_000);
    await clock.advance(4_900);
    expect(ask(10)).toBe(0);
    await clock.advance(400);
    expect(ask(10)).toBe(10);
  });

  it('gives back what did not run and counts what ran twice', () => {
    const { quota, ask } = makeQuota();
    ask(10);
    quota.charge(-10);
    expect(quota.used).toBe(0);
    quota.charge(2);
    expect(quota.used).toBe(2);
  });

  it('takes a part of the last room as large as its part of what is asked', async () => {
    const { clock, ask } = makeQuota();
    let ran = 0;
    for (let count = 0; count < 100; count++) {
      await clock.advance(10);
      ran += ask(1, { used: 220, demandPerSecond: 900 });
    }
    expect(ran).toBeGreaterThan(0);
    expect(ran).toBeLessThan(10);
  });

  it('follows a limit that is lowered', () => {
    const { quota, ask } = makeQuota();
    ask(100);
    quota.account = { ...ACCOUNT, requestsPerSecond: 10, burst: 10 };
    expect(ask(10)).toBe(0);
  });

  it('goes on as before where it is cut off, and no further', () => {
    const { ask } = makeQuota();
    ask(30);
    const deaf = { ...HEARD, peerReportAgeMilliseconds: 1_300 };
    expect(ask(100, NOBODY, deaf)).toBe(0);
  });

  it('falls to its blind part where it stays cut off', async () => {
    const { clock, ask } = makeQuota();
    ask(200);
    await clock.advance(10_000);
    const deaf = { ...HEARD, peerReportAgeMilliseconds: 10_000 };
    expect(ask(100, NOBODY, deaf)).toBeCloseTo(25, -1);
  });

  it('leaves room for what ran before its start, which nobody remembers', () => {
    const ran = makeQuota().ask(1_000, NOBODY, { ...HEARD, unaccountedShare: 0.8 });
    expect(ran).toBeLessThan(240 * 0.3 + 10);
    expect(ran).toBeGreaterThan(240 * 0.2);
  });

  it('tells when there will be room, the later the more were refused before', () => {
    const { quota, ask } = makeQuota();
    ask(1_000);
    const later = quota.acquire(NOBODY, HEARD);
    expect(later?.retryAfterSeconds).toBe(5);
    expect(later).toMatchObject({ limit: 240, usedElsewhere: 0 });
    const { quota: other, ask: askOther } = makeQuota();
    askOther(260);
    const sooner = other.acquire(NOBODY, HEARD)?.retryAfterSeconds ?? 0;
    expect(sooner).toBeGreaterThan(0);
    expect(sooner).toBeLessThan(1);
  });
});

describe('AccountQuotas', () => {
  function makeQuotas() {
    const clock = new FakeClock();
    const random = new SeededRandom(1);
    return new AccountQuotas({
      clock,
      random,
      bound: BOUND,
      usageElsewhere: () => NOBODY,
      visibility: () => HEARD,
    });
  }

  it('bounds no account without a limit, and tells nothing of it', () => {
    const quotas = makeQuotas();
    const open = { ...ACCOUNT, requestsPerSecond: 0 };
    quotas.setAccounts([open]);
    for (let count = 0; count < 1_000; count++) {
      expect(quotas.acquire(open)).toBeUndefined();
    }
    expect(quotas.usage).toEqual({ used: {}, demand: {} });
  });

  it('keeps what an account has used over versions of the configuration', () => {
    const quotas = makeQuotas();
    quotas.setAccounts([ACCOUNT]);
    quotas.acquire(ACCOUNT);
    const changed = { ...ACCOUNT, burst: 10 };
    quotas.setAccounts([changed]);
    expect(quotas.usage.used).toEqual({ haulier: 1 });
    expect(quotas.limitOf('haulier')).toBe(210);
    quotas.setAccounts([]);
    expect(quotas.usage.used).toEqual({});
  });

  it('counts a request by how often it came to run', () => {
    const quotas = makeQuotas();
    quotas.setAccounts([ACCOUNT]);
    quotas.acquire(ACCOUNT);
    quotas.recordRuns(ACCOUNT, 2);
    expect(quotas.usedBy('haulier')).toBe(2);
    quotas.acquire(ACCOUNT);
    quotas.recordRuns(ACCOUNT, 0);
    expect(quotas.usedBy('haulier')).toBe(2);
  });
});
