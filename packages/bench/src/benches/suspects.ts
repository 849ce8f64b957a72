import { CrashFleet, FakeClock } from '@ferrylock/test-utils';
import type { CrashFleetWay, RepeatedRequest } from '@ferrylock/test-utils';
import type { Bench, Row } from '../report.js';
import { atMost } from '../report.js';

const WAYS: readonly CrashFleetWay[] = ['nothing', 'alone', 'together'];
const SIZES = [
  { hosts: 12, targets: 20 },
  { hosts: 65, targets: 60 },
];
const SETTLE_MILLISECONDS = 4_000;
const PLAYED_MILLISECONDS = 20_000;
/** In which hosts have to come to know something, on the users' deployments. */
const CONNECTIVITY_MILLISECONDS = 4_000;
const ENDS_BEFORE = 3;
const MOST_SENDS_AFTER = 3;
/** Look-ups of ordinary objects, each asked for as often; one more is asked for as often as half of all of them. */
const OBJECTS = 72;
const LOOK_UPS_PER_SECOND = 200;
const POPULAR_PER_SECOND = 100;
const BAD_PER_SECOND = 5;

/** What ends targets. */
interface Trouble {
  readonly bad: readonly string[];
  /** Part of the runs of bad requests under which a target ends. */
  readonly crashShare?: number;
  /** Part of the targets that end at a moment for no request's reason, and the time between two such moments. */
  readonly endedShare?: number;
  readonly everyMilliseconds?: number;
}

const TROUBLES: Readonly<Record<string, Trouble>> = {
  'one such request': { bad: ['bad'] },
  'two such requests': { bad: ['bad', 'worse'] },
  'one, in half of its runs': { bad: ['bad'], crashShare: 0.5 },
  'one, in a quarter of its runs': { bad: ['bad'], crashShare: 0.25 },
  'none, 15 in 100 targets crash every 4 s': {
    bad: [],
    endedShare: 0.15,
    everyMilliseconds: 4_000,
  },
  'none, a third crash every 3 s': { bad: [], endedShare: 0.33, everyMilliseconds: 3_000 },
  'one, and 15 in 100 crash every 4 s': {
    bad: ['bad'],
    endedShare: 0.15,
    everyMilliseconds: 4_000,
  },
};

interface Played {
  readonly clock: FakeClock;
  readonly crashes: CrashFleet;
}

async function play(
  way: CrashFleetWay,
  { hosts, targets }: (typeof SIZES)[number],
  trouble: Trouble,
  seed: number,
): Promise<Played> {
  const clock = new FakeClock();
  const { crashShare = 1, endedShare = 0, everyMilliseconds = PLAYED_MILLISECONDS } = trouble;
  const crashes = new CrashFleet({ clock, hosts, domains: 6, targets, seed, way, crashShare });
  await clock.advance(SETTLE_MILLISECONDS);
  const until = clock.now() + PLAYED_MILLISECONDS;
  for (let object = 0; object < OBJECTS; object++) {
    void crashes.call(ordinary(`object-${object}`), LOOK_UPS_PER_SECOND / OBJECTS, until);
  }
  void crashes.call(ordinary('popular'), POPULAR_PER_SECOND, until);
  for (const name of trouble.bad) {
    void crashes.call({ name, crashes: true }, BAD_PER_SECOND, until);
  }
  while (clock.now() < until) {
    await clock.advance(everyMilliseconds);
    crashes.endTargets(Math.round(endedShare * targets));
  }
  return { clock, crashes };
}

function ordinary(name: string): RepeatedRequest {
  return { name, crashes: false };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** The longest time in which one ordinary request was turned away, from the first time to the last, in seconds. */
function longestSeconds({ turnedAway }: CrashFleet): number {
  const first = new Map<string, number>();
  let longest = 0;
  for (const { at, name } of turnedAway) {
    const since = first.get(name) ?? at;
    first.set(name, since);
    longest = Math.max(longest, at - since);
  }
  return longest / 1_000;
}

function describe({ crashes }: Played, bad: readonly string[]) {
  const counts = [...crashes.answers].flatMap(([name, answers]) =>
    bad.includes(name) ? [] : [answers],
  );
  return {
    endsUnderBad: crashes.sends.filter(({ ended }) => ended).length,
    sentAfter: Math.max(
      0,
      ...bad.map((name) =>
        crashes.sentAfter(name, crashes.endedAt(name, ENDS_BEFORE) + CONNECTIVITY_MILLISECONDS),
      ),
    ),
    othersAnswered: sum(counts.map(({ answered }) => answered)),
    othersLost: sum(counts.map(({ lost }) => lost)),
    othersTurnedAway: crashes.turnedAway.length,
    longestSeconds: Number(longestSeconds(crashes).toFixed(1)),
  };
}

/**
 * Requests that end targets, and targets that end for other reasons: how many sends come late, and how many
 * ordinary requests are turned away by mistake. In virtual time: every run with a seed is the same.
 */
export const suspects: Bench = async ({ seed, progress }) => {
  const rows: Row[] = [];
  for (const size of SIZES) {
    for (const [name, trouble] of Object.entries(TROUBLES)) {
      for (const way of WAYS) {
        progress(`${size.hosts} hosts, ${name}, ${way}`);
        const played = await play(way, size, trouble, seed);
        rows.push({ hosts: size.hosts, trouble: name, way, ...describe(played, trouble.bad) });
      }
    }
  }
  const together = rows.filter(({ way }) => way === 'together');
  const certain = together.filter(({ trouble }) => !String(trouble).includes('of its runs'));
  return {
    setup: { seconds: PLAYED_MILLISECONDS / 1_000, lookUpsPerSecond: LOOK_UPS_PER_SECOND, seed },
    rows,
    targets: [
      atMost(
        'sends later than hosts had to know of the third end',
        MOST_SENDS_AFTER,
        Math.max(...certain.map(({ sentAfter }) => Number(sentAfter))),
        'sends',
      ),
      atMost(
        'ordinary requests turned away by mistake',
        0.1,
        Math.max(
          ...together.map(
            ({ othersTurnedAway, othersAnswered }) =>
              (100 * Number(othersTurnedAway)) / Number(othersAnswered),
          ),
        ),
        'in 100',
      ),
    ],
  };
};
