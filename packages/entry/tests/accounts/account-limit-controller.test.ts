import { FakeClock, makeLimitedAccount } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { AccountLimitController } from '../../src/accounts/account-limit-controller.js';
import { makeHostRecord } from '../fixtures.js';

const ACCOUNT = makeLimitedAccount(40);

/** What a host among others may let run at once: a quarter of the limit of 240 and the part of the slack. */
const TURN = 62;

/** `host-1` of a fleet of so many, of which it hears those that are named. */
function makeDuty({ hosts = 1, isFirstStart = true, heard = new Set<string>() } = {}) {
  const clock = new FakeClock();
  const records = Array.from({ length: hosts }, (_, index) =>
    makeHostRecord({ name: `host-${index + 1}` }),
  );
  const rushes = { count: 0 };
  const duty = new AccountLimitController({
    clock,
    random: new SeededRandom(1),
    bound: { windowMilliseconds: 5_000, overage: 0.1, slack: 20 },
    ownName: 'host-1',
    isFirstStart,
    hosts: () => records,
    isAlive: ({ name }) => heard.has(name),
    onSurge: () => {
      rushes.count++;
    },
  });
  duty.quotas.setAccounts([ACCOUNT]);
  /** Asks so many times; tells how many may run. */
  const ask = (count: number): number => {
    let ran = 0;
    for (let asked = 0; asked < count; asked++) {
      ran += duty.acquire(ACCOUNT) === undefined ? 1 : 0;
    }
    return ran;
  };
  /** Asks for more than may run in four turns, within one window, with fresh news before each. */
  const askInTurns = async (): Promise<number> => {
    let ran = 0;
    for (let turn = 0; turn < 4; turn++) {
      await clock.advance(1_000);
      duty.sweep();
      duty.mergeHostReport(other(2), used(0), 5_000);
      ran += ask(300);
    }
    return ran;
  };
  return { clock, duty, ask, askInTurns, rushes, heard };
}

const other = (number: number, incarnation = 'first') => ({ name: `host-${number}`, incarnation });
const used = (count: number) => ({ used: { haulier: count }, demand: { haulier: 1 } });

describe('AccountDuty', () => {
  it('gives the whole limit to a host that is alone', () => {
    expect(makeDuty().ask(300)).toBeGreaterThanOrEqual(240);
  });

  it('gives a small part to a host that hears nobody', async () => {
    const { clock, duty, ask } = makeDuty({ hosts: 10 });
    await clock.advance(10_000);
    duty.sweep();
    expect(ask(300)).toBeLessThanOrEqual(240 / 10);
  });

  it('gives a small part to a host that has just started, until it hears most others', async () => {
    const heard = new Set<string>();
    const { clock, duty, ask, askInTurns } = makeDuty({ hosts: 10, heard });
    const blind = ask(300);
    expect(blind).toBeLessThanOrEqual(240 / 10);
    for (let number = 2; number <= 10; number++) {
      heard.add(`host-${number}`);
    }
    await clock.advance(200);
    duty.sweep();
    duty.mergeHostReport(other(2), used(0), 5_000);
    expect(blind + ask(300)).toBe(TURN);
    const ran = TURN + (await askInTurns());
    expect(ran).toBeGreaterThan(200);
    expect(ran).toBeLessThanOrEqual(248);
  });

  it('counts what other hosts tell, and what an earlier start of a host told', async () => {
    const { clock, duty, heard } = makeDuty({ hosts: 3, heard: new Set(['host-2', 'host-3']) });
    duty.sweep();
    duty.mergeHostReport(other(2), used(60), 5_000);
    duty.mergeHostReport(other(3), used(50), 5_000);
    duty.mergeHostReport(other(2, 'second'), used(5), 5_000);
    expect(heard.size).toBe(2);
    await clock.advance(100);
    expect(duty.usage.others('haulier').used).toBe(60 + 50 + 5);
  });

  it('leaves room after a start for what ran before, until a host tells that remembers it', async () => {
    const { clock, duty, ask, askInTurns } = makeDuty({
      hosts: 2,
      isFirstStart: false,
      heard: new Set(['host-2']),
    });
    duty.sweep();
    duty.mergeHostReport(other(2), used(0), 0);
    expect(ask(100)).toBeLessThan(20);
    duty.mergeHostReport(other(2), used(0), 5_000);
    await clock.advance(1_000);
    duty.mergeHostReport(other(2), used(0), 5_000);
    expect(ask(200)).toBe(TURN);
    expect(TURN + (await askInTurns())).toBeGreaterThan(180);
  });

  it('believes nothing told by few of many', async () => {
    const { clock, duty, ask } = makeDuty({ hosts: 10, heard: new Set(['host-2']) });
    await clock.advance(10_000);
    duty.sweep();
    duty.mergeHostReport(other(2), used(0), 5_000);
    expect(ask(300)).toBeLessThanOrEqual(240 / 10);
  });

  it('tells others at once of a rush near the limit, and not of ordinary use', async () => {
    const { clock, duty, ask, rushes } = makeDuty();
    await clock.advance(1_000);
    duty.sweep();
    ask(100);
    expect(rushes.count).toBe(0);
    ask(60);
    expect(rushes.count).toBe(1);
    ask(20);
    expect(rushes.count).toBe(1);
    duty.report(1);
    await clock.advance(100);
    ask(20);
    expect(rushes.count).toBe(1);
    ask(10);
    expect(rushes.count).toBe(2);
  });

  it('takes its own part out of what is told of the whole fleet', async () => {
    const { clock, duty, ask } = makeDuty();
    ask(30);
    duty.report(7);
    ask(10);
    duty.mergeFleetReport(used(100), 7, 5_000);
    await clock.advance(100);
    expect(duty.usage.others('haulier').used).toBe(70);
  });
});
