import { FakeClock, WordFleet } from '@ferrylock/test-utils';
import type { FleetArrival, WordFleetOptions, TargetReply } from '@ferrylock/test-utils';
import type { Bench, Row } from '../report.js';
import { atMost } from '../report.js';

type Way = Pick<WordFleetOptions, 'others' | 'comeBack' | 'disabledMechanisms'>;

/** What is made of a rest. The second is what hosts do. */
const CHOSEN = 'each host by what it was told itself';
const WAYS: Readonly<Record<string, Way>> = {
  'not read': { disabledMechanisms: new Set(['rest']) },
  [CHOSEN]: {},
  'the same at all hosts': { others: 'the-same' },
  'a hint at all hosts': { others: 'hint' },
  'a hint once two hosts were asked': { others: 'hint-from-two' },
  'each alone, back by steps': { comeBack: 'by-steps' },
};
const SIZES = [
  { hosts: 10, targets: 20 },
  { hosts: 65, targets: 20 },
];
const SETTLE_MILLISECONDS = 4_000;
const PLAYED_MILLISECONDS = 16_000;
/** When targets ask for rest, from the beginning of calls. */
const EPISODE = { from: 5_000, until: 12_000 };
const REST_MILLISECONDS = 3_000;
const SHORT_REST_MILLISECONDS = 1_000;
const WAY_MILLISECONDS = 5;
/** Look-ups a second and objects, for each target, as on a deployment of twenty. */
const LOOK_UPS_PER_TARGET = 14.5;
const OBJECTS_PER_TARGET = 3.6;
/** What is on its way when a target asks is not counted. */
const UNDER_WAY_MILLISECONDS = 500;
/** Look-ups are to be answered within this. */
const AIM_MILLISECONDS = 400;

/** Decides what a target replies, knowing how many of all there are before it. */
type Trouble = (arrival: Omit<FleetArrival, 'reply'>, place: number, count: number) => TargetReply;

const GOES_ON: TargetReply = {};

const TROUBLES: Readonly<Record<string, Trouble>> = {
  'a third turn all away': (_arrival, place, count) =>
    3 * place < count ? { restMilliseconds: REST_MILLISECONDS } : GOES_ON,
  'a third turn one host away': ({ host }, place, count) =>
    3 * place < count && host === 'host-3' ? { restMilliseconds: REST_MILLISECONDS } : GOES_ON,
  'two thirds turn away two in three': ({ askedAt }, place, count) =>
    3 * place < 2 * count && Math.floor(askedAt) % 3 > 0
      ? { restMilliseconds: SHORT_REST_MILLISECONDS }
      : GOES_ON,
  'all turn away': () => ({ restMilliseconds: REST_MILLISECONDS }),
};

async function play(
  way: Way,
  { hosts, targets }: (typeof SIZES)[number],
  trouble: Trouble,
  seed: number,
): Promise<WordFleet> {
  const clock = new FakeClock();
  const places = new Map<string, number>();
  const beginsAt = SETTLE_MILLISECONDS;
  const fleet = new WordFleet({
    clock,
    hosts,
    domains: 6,
    targets,
    seed,
    wayMilliseconds: WAY_MILLISECONDS,
    ...way,
    conduct: (arrival) => {
      const since = arrival.at - beginsAt;
      const isOn = since >= EPISODE.from && since < EPISODE.until;
      const reply = isOn ? trouble(arrival, places.get(arrival.target) ?? 0, places.size) : GOES_ON;
      return reply === GOES_ON ? undefined : reply;
    },
  });
  await clock.advance(beginsAt);
  for (const target of fleet.targets) {
    places.set(target, places.size);
  }
  const objects = Math.round(OBJECTS_PER_TARGET * targets);
  for (let object = 0; object < objects; object++) {
    const perSecond = (LOOK_UPS_PER_TARGET * targets) / objects;
    void fleet.call(`object-${object}`, perSecond, beginsAt + PLAYED_MILLISECONDS);
  }
  await clock.advance(PLAYED_MILLISECONDS);
  return fleet;
}

function describe(fleet: WordFleet) {
  const turnedAway = fleet.arrivals.all.filter(({ reply }) => reply.restMilliseconds !== undefined);
  const isInTime = (milliseconds: number): boolean => milliseconds <= AIM_MILLISECONDS;
  return {
    mostInOneRest: fleet.arrivals.mostInOneRest(UNDER_WAY_MILLISECONDS),
    turnedAwayAtTargets: turnedAway.length,
    refused: fleet.answers.refused,
    inTime: fleet.times.filter(isInTime).length,
    late: fleet.times.filter((milliseconds) => !isInTime(milliseconds)).length,
  };
}

/** Targets that ask hosts for rest: what reaches them, and how callers fare. In virtual time, the same with each seed. */
export const rests: Bench = async ({ seed, progress }) => {
  const rows: Row[] = [];
  for (const size of SIZES) {
    for (const [name, trouble] of Object.entries(TROUBLES)) {
      for (const [wayName, way] of Object.entries(WAYS)) {
        progress(`${size.hosts} hosts, ${name}, ${wayName}`);
        const fleet = await play(way, size, trouble, seed);
        rows.push({ hosts: size.hosts, trouble: name, way: wayName, ...describe(fleet) });
      }
    }
  }
  const chosen = rows.filter(({ way }) => way === CHOSEN);
  const most = Math.max(...chosen.map(({ mostInOneRest }) => Number(mostInOneRest)));
  return {
    setup: { seconds: PLAYED_MILLISECONDS / 1_000, lookUpsPerTarget: LOOK_UPS_PER_TARGET, seed },
    rows,
    targets: [atMost('requests in one rest, from half a second on', 0, most, 'requests')],
  };
};
