import { makeLimitedAccount, QuotaFleet, toldUse } from '@ferrylock/test-utils';
import type { MakeQuotaWay } from '@ferrylock/test-utils';
import { demandParts, equalParts } from '../quotas/baseline-ways.js';
import { makeKeeperWay } from '../quotas/keeper-way.js';
import type { Bench, Row } from '../report.js';
import { atLeast, atMost, rounded } from '../report.js';

const SIZES = [12, 75, 195, 300];
const BOUND = { windowMilliseconds: 5_000, overage: 0.1, slack: 20 };
const PER_SECOND = 40;
const ACCOUNT = makeLimitedAccount(PER_SECOND);
const MILLISECONDS_PER_SECOND = 1_000;
/** Requests of a window, and in a second of a long time, that the account may have. */
const LIMIT = 6 * PER_SECOND;
const LIMIT_PER_SECOND = (LIMIT * MILLISECONDS_PER_SECOND) / BOUND.windowMilliseconds;
const MOST = LIMIT * (1 + BOUND.overage) + BOUND.slack;
/** Ordinary demand, as a part of the limit: limits of 1.6 times the usual, with as much of a second as burst. */
const USUAL = 0.52;
const SETTLE_MILLISECONDS = 8_000;
const MEASURED_MILLISECONDS = 20_000;
const DOWN_MILLISECONDS = 1_400;

const ways: Readonly<Record<string, () => MakeQuotaWay>> = {
  'equal parts': () => equalParts,
  'parts by demand': () => demandParts,
  'one keeper': makeKeeperWay,
  'told use': () => toldUse,
};

/** The busiest sixth of the hosts has 30 times the callers of the quietest. */
const uneven = (hosts: number): number[] =>
  Array.from({ length: hosts }, (_, host) => (host < hosts / 6 ? 30 : 1));
const half = (hosts: number, parity: number): number[] =>
  Array.from({ length: hosts }, (_, host) => (host % 2 === parity ? 1 : 0));

interface Measured {
  readonly fleet: QuotaFleet;
  /** Of the limit, over the measured time. */
  readonly usedShare: number;
  readonly refusedShare: number;
}

function measureDemand(
  makeWay: MakeQuotaWay,
  hosts: number,
  demand: number,
  seed: number,
): Measured {
  const fleet = makeFleet(makeWay, hosts, seed);
  fleet.ask(USUAL * LIMIT_PER_SECOND, uneven(hosts));
  fleet.run(SETTLE_MILLISECONDS);
  const before = { ran: fleet.ran.length, refused: fleet.refused };
  fleet.ask(demand * LIMIT_PER_SECOND, uneven(hosts));
  fleet.run(MEASURED_MILLISECONDS);
  const ran = fleet.ran.length - before.ran;
  const refused = fleet.refused - before.refused;
  const allowed = (LIMIT_PER_SECOND * MEASURED_MILLISECONDS) / MILLISECONDS_PER_SECOND;
  return { fleet, usedShare: ran / allowed, refusedShare: refused / (ran + refused) };
}

/** Faults of a fleet whose account is asked for far more than its limit. */
const faults: Readonly<Record<string, (fleet: QuotaFleet, hosts: number) => void>> = {
  killed: (fleet) => {
    fleet.kill(() => true);
    fleet.run(DOWN_MILLISECONDS);
    fleet.restart();
  },
  halfKilled: (fleet) => {
    fleet.kill((host) => host % 2 === 0);
    fleet.run(DOWN_MILLISECONDS);
    fleet.restart();
  },
  cutOff: (fleet) => {
    fleet.cut((host) => host % 3 === 0);
    fleet.run(SETTLE_MILLISECONDS);
    fleet.cut(() => false);
  },
  moved: (fleet, hosts) => {
    fleet.ask(3 * LIMIT_PER_SECOND, half(hosts, 1));
  },
};

function mostInFault(makeWay: MakeQuotaWay, hosts: number, fault: string, seed: number): number {
  const fleet = makeFleet(makeWay, hosts, seed);
  fleet.ask(3 * LIMIT_PER_SECOND, half(hosts, 0));
  fleet.run(SETTLE_MILLISECONDS);
  faults[fault]?.(fleet, hosts);
  fleet.run(SETTLE_MILLISECONDS);
  return fleet.mostIn(BOUND.windowMilliseconds) / MOST;
}

/** Seconds until callers that all moved to other hosts are refused less than one time in twenty. */
function secondsToMove(makeWay: MakeQuotaWay, hosts: number, seed: number): number {
  const fleet = makeFleet(makeWay, hosts, seed);
  fleet.ask(0.8 * LIMIT_PER_SECOND, half(hosts, 0));
  fleet.run(SETTLE_MILLISECONDS);
  fleet.ask(0.8 * LIMIT_PER_SECOND, half(hosts, 1));
  const step = 500;
  let refusedUntil = 0;
  for (let waited = step; waited <= MEASURED_MILLISECONDS; waited += step) {
    const before = { ran: fleet.ran.length, refused: fleet.refused };
    fleet.run(step);
    const refused = fleet.refused - before.refused;
    if (refused > 0.05 * (refused + fleet.ran.length - before.ran)) {
      refusedUntil = waited;
    }
  }
  return refusedUntil / MILLISECONDS_PER_SECOND;
}

function makeFleet(makeWay: MakeQuotaWay, hosts: number, seed: number): QuotaFleet {
  return new QuotaFleet({
    hosts,
    account: ACCOUNT,
    bound: BOUND,
    seed,
    makeWay,
    digestMilliseconds: 100,
    mostAgeMilliseconds: 200,
  });
}

function measureWay(name: string, make: () => MakeQuotaWay, hosts: number, seed: number): Row {
  const demands = [0.8, 1.2, 7.5].map((demand) => measureDemand(make(), hosts, demand, seed));
  const used = demands.map(({ usedShare }) => rounded(usedShare));
  const mosts = Object.keys(faults).map((fault) => [
    fault,
    rounded(mostInFault(make(), hosts, fault, seed)),
  ]);
  return {
    way: name,
    hosts,
    'used at 0.8': used[0] ?? 0,
    'refused at 0.8': rounded(demands[0]?.refusedShare ?? 0),
    'used at 1.2': used[1] ?? 0,
    'used at 7.5': used[2] ?? 0,
    'most in a rush': rounded((demands[2]?.fleet.mostIn(BOUND.windowMilliseconds) ?? 0) / MOST),
    ...(Object.fromEntries(mosts) as Row),
    'moved, s': secondsToMove(make(), hosts, seed),
  };
}

/**
 * Ways of keeping one account's limit over many hosts, in an emulated fleet without a network. Shares used are of
 * the limit; what ran at most is told as a part of what a window may hold.
 */
export const quotas: Bench = ({ seed, progress }) => {
  const rows: Row[] = [];
  for (const hosts of SIZES) {
    for (const [name, make] of Object.entries(ways)) {
      progress(`${name}, ${hosts} hosts …`);
      rows.push(measureWay(name, make, hosts, seed));
    }
  }
  const kept = rows.filter(({ way }) => way === 'told use');
  const column = (name: string): number[] => kept.map((row) => Number(row[name]));
  const worst = ['most in a rush', ...Object.keys(faults)].flatMap(column);
  return Promise.resolve({
    setup: { seed, perSecond: PER_SECOND, limit: LIMIT, most: MOST },
    rows,
    targets: [
      atLeast('limit used at 1.2', 0.95, Math.min(...column('used at 1.2')), 'of it'),
      atLeast('limit used at 7.5', 0.98, Math.min(...column('used at 7.5')), 'of it'),
      atMost('refused at 0.8', 0.001, Math.max(...column('refused at 0.8')), 'of requests'),
      atMost('most in any window', 1, Math.max(...worst), 'of what it may hold'),
    ],
  });
};
