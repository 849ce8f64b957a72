import { rendezvousRank } from '@ferrylock/utils';
import type { AffinityScenario } from '../affinity/affinity-simulation.js';
import { AffinitySimulation } from '../affinity/affinity-simulation.js';
import type { AffinityWay, AffinityWayOptions } from '../affinity/affinity-way.js';
import {
  FewTargetsByAffinity,
  FirstInOrder,
  FirstWithRoom,
  OwnSlots,
  RandomOfTwo,
} from '../affinity/affinity-way.js';
import type { Bench, Row } from '../report.js';
import { atLeast, atMost, rounded } from '../report.js';

const CHOSEN = 'few targets by affinity';

const WAYS: Readonly<Record<string, (options: AffinityWayOptions) => AffinityWay>> = {
  'random of two': (options) => new RandomOfTwo(options),
  'first in order': (options) => new FirstInOrder(options),
  'first with room': (options) => new FirstWithRoom(options),
  'own slots, no loans': (options) => new OwnSlots(options),
  [CHOSEN]: (options) => new FewTargetsByAffinity(options),
};

/** Hosts, and for how long each size is played. */
const SIZES = [
  { hosts: 10, milliseconds: 30_000 },
  { hosts: 80, milliseconds: 6_000 },
] as const;
/** Each host's part of a deployment like skovlund-qc under load. */
const TARGETS_PER_HOST = 2;
const KEYS_PER_HOST = 7.5;
const REQUESTS_PER_SECOND_AND_HOST = 35;
const OBJECTIVE_MILLISECONDS = 300;

function scenario(size: (typeof SIZES)[number], seed: number): AffinityScenario {
  return {
    ...size,
    targets: size.hosts * TARGETS_PER_HOST,
    keys: Math.round(size.hosts * KEYS_PER_HOST),
    requestsPerSecond: size.hosts * REQUESTS_PER_SECOND_AND_HOST,
    objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
    seed,
  };
}

/** Share of keys whose first target changes when one of the targets is lost. */
function movedByLoss(targets: number, keys: number): number {
  const all = Array.from({ length: targets }, (_, index) => `target-${index}`);
  const left = all.slice(1);
  let moved = 0;
  for (let key = 0; key < keys; key++) {
    const firstOf = (members: string[]) => rendezvousRank(`object-${key}`, members, (id) => id)[0];
    moved += firstOf(all) === firstOf(left) ? 0 : 1;
  }
  return moved / keys;
}

/** Weighs ways to choose among targets that know some objects, in virtual time. */
export const affinity: Bench = ({ seed, progress }) => {
  const rows: Row[] = [];
  for (const size of SIZES) {
    const played = scenario(size, seed);
    for (const [way, make] of Object.entries(WAYS)) {
      progress(`${size.hosts} hosts: ${way}`);
      const outcome = new AffinitySimulation(played, make).run();
      rows.push({
        hosts: size.hosts,
        way,
        chosen: way === CHOSEN,
        knownPercent: rounded(100 * outcome.knownShare),
        inObjectivePercent: rounded(100 * outcome.inObjectiveShare),
        refusedPercent: rounded(100 * outcome.refusedShare),
        p99Milliseconds: rounded(outcome.p99Milliseconds),
        mostWaiting: outcome.mostWaiting,
        betweenRegionsPercent: rounded(100 * outcome.farBytesShare),
        movedByLossPercent:
          way === 'random of two' ? 0 : rounded(100 * movedByLoss(played.targets, 1_000)),
      });
    }
  }
  const chosen = rows.filter((row) => row.chosen === true);
  const worst = (name: string) => Math.min(...chosen.map((row) => Number(row[name])));
  const most = (name: string) => Math.max(...chosen.map((row) => Number(row[name])));
  return Promise.resolve({
    setup: { objectiveMilliseconds: OBJECTIVE_MILLISECONDS, targetsPerHost: TARGETS_PER_HOST },
    rows,
    targets: [
      atLeast('work on known objects', 90, worst('knownPercent'), '%'),
      atLeast('answers within the objective', 80, worst('inObjectivePercent'), '%'),
      atMost('refused', 2, most('refusedPercent'), '%'),
    ],
  });
};
