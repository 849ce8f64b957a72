import { FakeClock, makeLimitedAccount } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { AccountLimitController } from '../../src/accounts/account-limit-controller.js';
import { makeHostRecord } from '../fixtures.js';

const ACCOUNT = makeLimitedAccount(40);

/**
 * Requests admitted at once by a host among others: a quarter of the limit and a share of the
 * slack.
 */
const ROUND = 62;

/** Controller of `host-1` in a fleet of the given size, with the given hosts alive. */
function makeController({ hosts = 1, isFirstStart = true, alive = new Set<string>() } = {}) {
  const clock = new FakeClock();
  const records = Array.from({ length: hosts }, (_, index) =>
    makeHostRecord({ name: `host-${index + 1}` }),
  );
  const surges = { count: 0 };
  const controller = new AccountLimitController({
    clock,
    random: new SeededRandom(1),
    bound: { windowMilliseconds: 5_000, overage: 0.1, slack: 20 },
    ownName: 'host-1',
    isFirstStart,
    hosts: () => records,
    isAlive: ({ name }) => alive.has(name),
    onSurge: () => {
      surges.count++;
    },
  });
  controller.quotas.setAccounts([ACCOUNT]);
  /** Sends a number of requests; returns how many were admitted. */
  const send = (count: number): number => {
    let ran = 0;
    for (let asked = 0; asked < count; asked++) {
      ran += controller.acquire(ACCOUNT) === undefined ? 1 : 0;
    }
    return ran;
  };
  /** Exceeds the limit in four rounds within one window, with a new report before each. */
  const sendInRounds = async (): Promise<number> => {
    let ran = 0;
    for (let round = 0; round < 4; round++) {
      await clock.advance(1_000);
      controller.sweep();
      controller.mergeHostReport(other(2), used(0), 5_000);
      ran += send(300);
    }
    return ran;
  };
  return { clock, controller, send, sendInRounds, surges, alive };
}

const other = (number: number, incarnation = 'first') => ({ name: `host-${number}`, incarnation });
const used = (count: number) => ({ used: { haulier: count }, demand: { haulier: 1 } });

describe('AccountLimitController', () => {
  it('grants the whole limit to a single host', () => {
    expect(makeController().send(300)).toBeGreaterThanOrEqual(240);
  });

  it('grants a small share to a host that receives no reports', async () => {
    const { clock, controller, send } = makeController({ hosts: 10 });
    await clock.advance(10_000);
    controller.sweep();
    expect(send(300)).toBeLessThanOrEqual(240 / 10);
  });

  it('grants a small share to a new host until most other hosts are alive', async () => {
    const alive = new Set<string>();
    const { clock, controller, send, sendInRounds } = makeController({ hosts: 10, alive });
    const isolated = send(300);
    expect(isolated).toBeLessThanOrEqual(240 / 10);
    for (let number = 2; number <= 10; number++) {
      alive.add(`host-${number}`);
    }
    await clock.advance(200);
    controller.sweep();
    controller.mergeHostReport(other(2), used(0), 5_000);
    expect(isolated + send(300)).toBe(ROUND);
    const ran = ROUND + (await sendInRounds());
    expect(ran).toBeGreaterThan(200);
    expect(ran).toBeLessThanOrEqual(248);
  });

  it('counts the usage reported by other hosts and their earlier incarnations', async () => {
    const { clock, controller, alive } = makeController({
      hosts: 3,
      alive: new Set(['host-2', 'host-3']),
    });
    controller.sweep();
    controller.mergeHostReport(other(2), used(60), 5_000);
    controller.mergeHostReport(other(3), used(50), 5_000);
    controller.mergeHostReport(other(2, 'second'), used(5), 5_000);
    expect(alive.size).toBe(2);
    await clock.advance(100);
    expect(controller.usage.others('haulier').used).toBe(60 + 50 + 5);
  });

  it('reserves capacity after a start until a host reports the usage history', async () => {
    const { clock, controller, send, sendInRounds } = makeController({
      hosts: 2,
      isFirstStart: false,
      alive: new Set(['host-2']),
    });
    controller.sweep();
    controller.mergeHostReport(other(2), used(0), 0);
    expect(send(100)).toBeLessThan(20);
    controller.mergeHostReport(other(2), used(0), 5_000);
    await clock.advance(1_000);
    controller.mergeHostReport(other(2), used(0), 5_000);
    expect(send(200)).toBe(ROUND);
    expect(ROUND + (await sendInRounds())).toBeGreaterThan(180);
  });

  it('ignores reports while only few hosts are alive', async () => {
    const { clock, controller, send } = makeController({ hosts: 10, alive: new Set(['host-2']) });
    await clock.advance(10_000);
    controller.sweep();
    controller.mergeHostReport(other(2), used(0), 5_000);
    expect(send(300)).toBeLessThanOrEqual(240 / 10);
  });

  it('requests a report for a surge near the limit, but not for ordinary usage', async () => {
    const { clock, controller, send, surges } = makeController();
    await clock.advance(1_000);
    controller.sweep();
    send(100);
    expect(surges.count).toBe(0);
    send(60);
    expect(surges.count).toBe(1);
    send(20);
    expect(surges.count).toBe(1);
    controller.report(1);
    await clock.advance(100);
    send(20);
    expect(surges.count).toBe(1);
    send(10);
    expect(surges.count).toBe(2);
  });

  it('subtracts its own usage from the usage reported for the whole fleet', async () => {
    const { clock, controller, send } = makeController();
    send(30);
    controller.report(7);
    send(10);
    controller.mergeFleetReport(used(100), 7, 5_000);
    await clock.advance(100);
    expect(controller.usage.others('haulier').used).toBe(70);
  });
});
