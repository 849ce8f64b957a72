import { atec, skovlund } from '@ferrylock/test-utils';
import { OwnInFlight, PeersInFlight, TargetHolders } from '../choice/baseline-ways.js';
import type { ChoiceSetting, ChoiceWay } from '../choice/choice-way.js';
import { DividedSlots } from '../choice/divided-slots.js';
import type { Outcome, Scenario } from '../choice/simulation.js';
import { idealOutcome, makeArrivals, simulate } from '../choice/simulation.js';
import type { Bench, Row } from '../report.js';
import { atMost, rounded } from '../report.js';

const LOADS = [0.5, 0.8, 0.95, 1.2];
const REQUESTS = 3_000;
const CHOSEN = 'divided slots with loans';

const WAYS: Readonly<Record<string, (setting: ChoiceSetting) => ChoiceWay>> = {
  'two choices, own in-flight': (setting) => new OwnInFlight(setting),
  'two choices, peers in-flight': (setting) => new PeersInFlight(setting),
  'target held by one host': (setting) => new TargetHolders(setting),
  'divided slots, no loans': (setting) => new DividedSlots(setting, false),
  [CHOSEN]: (setting) => new DividedSlots(setting, true),
};

/** Time that the targets of each service work on a request; the brief names none. */
const SERVICE_MILLISECONDS: Readonly<Record<string, number>> = {
  'verdict-api': 30,
  'sorter-gate': 20,
  'image-intake': 200,
  'quote-desk': 40,
  'booking-desk': 30,
  'paper-dock': 200,
};

function todaysScenarios(seed: number): Omit<Scenario, 'load'>[] {
  return [skovlund, atec].flatMap((account) =>
    account.services.map((service) => ({
      name: service.name,
      regions: account.regions.length,
      hosts: 12,
      targets: service.targets,
      slots: service.slots,
      meanServiceMilliseconds: SERVICE_MILLISECONDS[service.name] ?? 30,
      sameRegionMilliseconds: account.betweenDomainsMilliseconds,
      otherRegionMilliseconds: account.betweenRegionsMilliseconds,
      requests: REQUESTS,
      seed,
    })),
  );
}

/** One failure domain at the target size: 45 hosts, with as many slots a host as today. */
function targetSizeScenario(seed: number): Omit<Scenario, 'load'> {
  return {
    name: 'verdict-api, 45 hosts',
    regions: 1,
    hosts: 45,
    targets: 75,
    slots: 6,
    meanServiceMilliseconds: 30,
    sameRegionMilliseconds: 0.5,
    otherRegionMilliseconds: 10,
    requests: REQUESTS * 2,
    seed,
  };
}

interface Measured {
  readonly way: string;
  readonly load: number;
  readonly outcome: Outcome;
  readonly ideal: Outcome;
}

function toRow(scenario: Scenario, { way, outcome, ideal }: Measured): Row {
  return {
    service: scenario.name,
    load: scenario.load,
    way,
    chosen: way === CHOSEN,
    p50Ms: rounded(outcome.p50),
    p99Ms: rounded(outcome.p99),
    p99OverIdeal: rounded(outcome.p99 / ideal.p99),
    refusedPercent: rounded(outcome.refusedShare * 100),
    mostOverSlots: outcome.mostOverSlots,
    connectionsPerTarget: outcome.connectionsPerTarget,
  };
}

/** The ways of choosing targets against one another and against one ideal shared queue. */
export const choice: Bench = async ({ seed, progress }) => {
  const rows: Row[] = [];
  const measured: Measured[] = [];
  for (const base of [...todaysScenarios(seed), targetSizeScenario(seed)]) {
    progress(`${base.name} …`);
    for (const load of LOADS) {
      const scenario = { ...base, load };
      const arrivals = makeArrivals(scenario);
      const ideal = idealOutcome(scenario, arrivals);
      rows.push(toRow(scenario, { way: 'ideal shared queue', load, outcome: ideal, ideal }));
      for (const [way, makeWay] of Object.entries(WAYS)) {
        const outcome = await simulate(scenario, arrivals, makeWay);
        measured.push({ way, load, outcome, ideal });
        rows.push(toRow(scenario, { way, load, outcome, ideal }));
      }
    }
  }
  const chosen = measured.filter(({ way }) => way === CHOSEN);
  const at95 = chosen.filter(({ load }) => load === 0.95);
  const worst = (value: (outcome: Measured) => number, of: Measured[]): number =>
    Math.max(...of.map(value));
  return {
    setup: { hosts: 12, requestsEach: REQUESTS, busiestHostOverQuietest: 3 },
    rows,
    targets: [
      atMost(
        'refused at 95 % load',
        0.5,
        worst(({ outcome }) => outcome.refusedShare * 100, at95),
        '%',
      ),
      atMost(
        'over-committed slots at any load',
        0,
        worst(({ outcome }) => outcome.mostOverSlots, chosen),
        'slots',
      ),
      atMost(
        'p99 over the ideal queue at 95 % load',
        1.5,
        worst(({ outcome, ideal }) => outcome.p99 / ideal.p99, at95),
        '×',
      ),
    ],
  };
};
