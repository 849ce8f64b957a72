import { makeLimitedAccount, partOfLimit, QuotaFleet, toldUse } from '@ferrylock/test-utils';
import type { MakeQuotaWay } from '@ferrylock/test-utils';
import { demandParts } from '../quotas/baseline-ways.js';
import { eachAlone, equalByMembership, fewHosts, notRead } from '../quotas/limit-ways.js';
import type { Bench, Row } from '../report.js';
import { atLeast, atMost, rounded } from '../report.js';

const WINDOW_MILLISECONDS = 4_000;
const SIZES = [12, 75, 195];
const LIMITS = [1, 4.9];
/** What is wanted of the target, in a second, and of one in a rush. */
const WANTED_PER_SECOND = 14.5;
const RUSH_PER_SECOND = 7 * WANTED_PER_SECOND;
const SETTLE_MILLISECONDS = 8_000;
const MEASURED_MILLISECONDS = 24_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** What the users bear, as a factor on what is named and requests on top. */
const BORNE = { factor: 1.5, requests: 5 };

const CHOSEN = 'parts as known, and what is missing';
const ways: Readonly<Record<string, MakeQuotaWay>> = {
  'not read': notRead,
  'each host alone': eachAlone,
  'equal parts by membership': equalByMembership,
  'parts by what is asked, as told': demandParts,
  'few hosts': fewHosts,
  'told use, as for accounts': toldUse,
  [CHOSEN]: partOfLimit,
};

const alike = (hosts: number): number[] => Array.from({ length: hosts }, () => 1);
const at = (hosts: number, one: number): number[] =>
  Array.from({ length: hosts }, (_, host) => Number(host === one));

/** Where callers come, from a fleet that has settled with callers at all hosts alike, or without any. */
const cases: Readonly<Record<string, (fleet: QuotaFleet, hosts: number) => void>> = {
  alike: (fleet) => {
    fleet.run(MEASURED_MILLISECONDS);
  },
  atOne: (fleet, hosts) => {
    fleet.ask(WANTED_PER_SECOND, at(hosts, 3));
    fleet.run(MEASURED_MILLISECONDS);
  },
  moving: (fleet, hosts) => {
    for (let move = 0; move < 3; move++) {
      fleet.ask(WANTED_PER_SECOND, at(hosts, move));
      fleet.run(MEASURED_MILLISECONDS / 3);
    }
  },
  rush: (fleet, hosts) => {
    fleet.ask(RUSH_PER_SECOND, alike(hosts));
    fleet.run(MEASURED_MILLISECONDS);
  },
  fromRest: (fleet, hosts) => {
    fleet.ask(0, alike(hosts));
    fleet.run(2 * SETTLE_MILLISECONDS);
    fleet.ask(RUSH_PER_SECOND, alike(hosts));
    fleet.run(MEASURED_MILLISECONDS - 2 * SETTLE_MILLISECONDS);
  },
};

interface Measured {
  /** Of the limit. */
  readonly used: number;
  /** In the fullest window. */
  readonly most: number;
}

function measure(
  makeWay: MakeQuotaWay,
  { hosts, perSecond, seed }: { hosts: number; perSecond: number; seed: number },
  play: (fleet: QuotaFleet, hosts: number) => void,
): Measured {
  const fleet = new QuotaFleet({
    hosts,
    account: { ...makeLimitedAccount(perSecond), burst: 0 },
    bound: { windowMilliseconds: WINDOW_MILLISECONDS, overage: 0, slack: 0 },
    seed,
    makeWay,
    digestMilliseconds: 400,
    mostAgeMilliseconds: 600,
  });
  fleet.ask(WANTED_PER_SECOND, alike(hosts));
  fleet.run(SETTLE_MILLISECONDS);
  const before = fleet.ran.length;
  play(fleet, hosts);
  const seconds = MEASURED_MILLISECONDS / MILLISECONDS_PER_SECOND;
  return {
    used: (fleet.ran.length - before) / (perSecond * seconds),
    most: fleet.mostIn(WINDOW_MILLISECONDS),
  };
}

function measureWay(
  way: string,
  makeWay: MakeQuotaWay,
  fleet: { hosts: number; perSecond: number; seed: number },
): Row {
  const named = (fleet.perSecond * WINDOW_MILLISECONDS) / MILLISECONDS_PER_SECOND;
  const borne = BORNE.factor * named + BORNE.requests;
  const measured = Object.entries(cases).map(
    ([name, play]) => [name, measure(makeWay, fleet, play)] as const,
  );
  return {
    way,
    hosts: fleet.hosts,
    limit: fleet.perSecond,
    ...Object.fromEntries(measured.map(([name, { used }]) => [`used ${name}`, rounded(used)])),
    ...Object.fromEntries(
      measured.map(([name, { most }]) => [`most ${name}`, rounded(most / borne)]),
    ),
  };
}

/**
 * Ways in which hosts together keep a limit that a target names, in emulated fleets without a network. What is used is told as a
 * part of the limit, the fullest window as a part of what is borne in it.
 */
export const targetLimits: Bench = ({ seed, progress }) => {
  const rows: Row[] = [];
  for (const hosts of SIZES) {
    for (const perSecond of LIMITS) {
      for (const [name, makeWay] of Object.entries(ways)) {
        progress(`${name}, ${hosts} hosts, ${perSecond} a second …`);
        rows.push(measureWay(name, makeWay, { hosts, perSecond, seed }));
      }
    }
  }
  const chosen = rows.filter(({ way }) => way === CHOSEN);
  const column = (name: string): number[] => chosen.map((row) => Number(row[name]));
  const names = Object.keys(cases);
  const most = Math.max(...names.flatMap((name) => column(`most ${name}`)));
  return Promise.resolve({
    setup: { seed, wantedPerSecond: WANTED_PER_SECOND, rushPerSecond: RUSH_PER_SECOND },
    rows,
    targets: [
      atMost('fullest window', 1, most, 'of what is borne'),
      atLeast('used, callers at all hosts', 0.85, Math.min(...column('used alike')), 'of it'),
      atLeast('used, callers at one', 0.85, Math.min(...column('used atOne')), 'of it'),
      atLeast('used, callers that move', 0.85, Math.min(...column('used moving')), 'of it'),
    ],
  });
};
