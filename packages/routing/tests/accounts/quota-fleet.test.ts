import { makeLimitedAccount, QuotaFleet, toldUse } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';

/**
 * Quotas shared by many hosts under critical demand. Demand is a multiple of the rate of the
 * account; ordinary demand is 0.62 of it. Reports take up to 0.3 s.
 */
const POLICY = { windowMilliseconds: 5_000, overage: 0.1, slack: 20 };
const ORDINARY = 0.62;
/** Surge to 7.5 times the ordinary demand. */
const SURGE = 7.5 * ORDINARY;

const limitOf = (perSecond: number): number => 6 * perSecond;
const boundOf = (perSecond: number): number => 1.1 * limitOf(perSecond) + 20;

function makeFleet(hosts: number, perSecond: number, seed: number): QuotaFleet {
  return new QuotaFleet({
    hosts,
    account: makeLimitedAccount(perSecond),
    bound: POLICY,
    seed,
    makeWay: toldUse,
    digestMilliseconds: 100,
    mostAgeMilliseconds: 200,
  });
}

/** Equal demand at all hosts. */
const evenly = (hosts: number): number[] => Array.from({ length: hosts }, () => 1);
/** A sixth of the hosts has 30 times the demand of the others. */
const uneven = (hosts: number): number[] =>
  Array.from({ length: hosts }, (_, host) => (host < hosts / 6 ? 30 : 1));
/** All demand at one half of the hosts. */
const atHalf = (hosts: number, half: 0 | 1): number[] =>
  Array.from({ length: hosts }, (_, host) => (host % 2 === half ? 1 : 0));
const atOne = (hosts: number): number[] =>
  Array.from({ length: hosts }, (_, host) => (host === 0 ? 1 : 0));

describe.each([
  [12, 12],
  [12, 300],
  [75, 40],
  [195, 300],
])('account quota on %i hosts at %i requests per second', (hosts, perSecond) => {
  const within = (fleet: QuotaFleet): void => {
    expect(fleet.mostIn(POLICY.windowMilliseconds)).toBeLessThanOrEqual(boundOf(perSecond));
  };

  it.each([
    ['evenly distributed', evenly],
    ['uneven', uneven],
    ['at one host', atOne],
  ])('refuses nothing at ordinary demand, %s', (_case, weights) => {
    const fleet = makeFleet(hosts, perSecond, 1);
    fleet.ask(ORDINARY * perSecond, weights(hosts));
    fleet.run(12_000);
    expect(fleet.refused).toBe(0);
  });

  it.each([
    ['evenly distributed', evenly],
    ['uneven', uneven],
    ['at one host', atOne],
  ])('is used up and not exceeded in a surge, %s', (_case, weights) => {
    const fleet = makeFleet(hosts, perSecond, 2);
    fleet.ask(ORDINARY * perSecond, evenly(hosts));
    fleet.run(8_000);
    fleet.ask(SURGE * perSecond, weights(hosts));
    fleet.run(14_000);
    within(fleet);
    const late = fleet.ran.filter((at) => at > 12_000).length;
    expect(late / (2 * limitOf(perSecond))).toBeGreaterThan(0.9);
  });

  it('refuses less than 0.1 % of requests one second after all callers moved', () => {
    const fleet = makeFleet(hosts, perSecond, 3);
    fleet.ask(0.9 * perSecond, atHalf(hosts, 0));
    fleet.run(8_000);
    fleet.ask(0.9 * perSecond, atHalf(hosts, 1));
    fleet.run(1_000);
    const before = { refused: fleet.refused, ran: fleet.ran.length };
    fleet.run(10_000);
    const refused = fleet.refused - before.refused;
    expect(refused / (fleet.ran.length - before.ran + refused)).toBeLessThan(0.001);
  });

  it('is not exceeded when all hosts restart in a surge within one window', () => {
    const fleet = makeFleet(hosts, perSecond, 4);
    fleet.ask(SURGE * perSecond, evenly(hosts));
    fleet.run(8_000);
    fleet.kill(() => true);
    fleet.run(1_400);
    fleet.restart();
    fleet.run(8_000);
    within(fleet);
  });

  it('refuses few requests at ordinary demand after a restart of all hosts', () => {
    const fleet = makeFleet(hosts, perSecond, 5);
    fleet.ask(ORDINARY * perSecond, evenly(hosts));
    fleet.run(8_000);
    fleet.kill(() => true);
    fleet.run(1_400);
    fleet.restart();
    fleet.run(1_000);
    const before = fleet.refused;
    fleet.run(8_000);
    expect(fleet.refused - before).toBeLessThan(0.01 * fleet.ran.length);
  });

  it('is not exceeded when half of the hosts restart in a surge', () => {
    const fleet = makeFleet(hosts, perSecond, 6);
    fleet.ask(SURGE * perSecond, evenly(hosts));
    fleet.run(8_000);
    fleet.kill((host) => host % 2 === 0);
    fleet.run(2_000);
    fleet.restart();
    fleet.run(8_000);
    within(fleet);
  });

  it('is not exceeded when a third of the hosts is partitioned and a surge begins on both sides', () => {
    const fleet = makeFleet(hosts, perSecond, 7);
    fleet.ask(ORDINARY * perSecond, evenly(hosts));
    fleet.run(8_000);
    fleet.cut((host) => host % 3 === 0);
    fleet.run(500);
    fleet.ask(SURGE * perSecond, evenly(hosts));
    fleet.run(12_000);
    fleet.cut(() => false);
    fleet.run(6_000);
    within(fleet);
  });

  it('takes effect one window after it is lowered to a third', () => {
    const fleet = makeFleet(hosts, perSecond, 8);
    fleet.ask(ORDINARY * perSecond, evenly(hosts));
    fleet.run(8_000);
    fleet.setAccount(makeLimitedAccount(perSecond / 3));
    fleet.run(5_000);
    fleet.ran.length = 0;
    fleet.run(10_000);
    expect(fleet.mostIn(5_000)).toBeLessThanOrEqual(boundOf(perSecond / 3));
  });
});

describe('account quota', () => {
  const SEEDS = 1_000;
  const HOSTS = 12;

  /** Injects one random fault or change of demand. */
  function injectFault(fleet: QuotaFleet, random: SeededRandom, perSecond: number): void {
    const part = random.next();
    const isAffected = (host: number): boolean =>
      (host * 7 + Math.floor(part * HOSTS)) % HOSTS < part * HOSTS;
    switch (Math.floor(random.next() * 6)) {
      case 0:
        fleet.kill(isAffected);
        break;
      case 1:
        fleet.kill(() => true);
        break;
      case 2:
        fleet.cut((host) => isAffected(host) && part < 0.5);
        break;
      case 3:
        fleet.ask(SURGE * random.next() * perSecond, uneven(HOSTS));
        break;
      case 4:
        fleet.ask(SURGE * random.next() * perSecond, atHalf(HOSTS, part < 0.5 ? 0 : 1));
        break;
      default:
        fleet.cut(() => false);
    }
  }

  it(`is never exceeded in ${SEEDS} sequences of crashes, partitions, restarts, surges and moves`, () => {
    const exceeded: string[] = [];
    for (let seed = 0; seed < SEEDS; seed++) {
      const random = new SeededRandom(seed);
      const perSecond = [12, 40, 120][seed % 3] ?? 12;
      const fleet = makeFleet(HOSTS, perSecond, seed);
      fleet.ask(ORDINARY * perSecond, evenly(HOSTS));
      fleet.run(3_000);
      for (let step = 0; step < 6; step++) {
        injectFault(fleet, random, perSecond);
        fleet.run(1_000 + Math.floor(100 * random.next()) * 10);
        fleet.restart();
        fleet.run(Math.floor(300 * random.next()) * 10);
      }
      const most = fleet.mostIn(POLICY.windowMilliseconds);
      if (most > boundOf(perSecond)) {
        exceeded.push(`seed ${seed}: ${most} of ${boundOf(perSecond)}`);
      }
    }
    expect(exceeded).toEqual([]);
  }, 120_000);
});
