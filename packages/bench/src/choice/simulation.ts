import { FakeClock } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import type { Random } from '@ferrylock/utils';
import { percentile } from '../percentile.js';
import type { ChoiceSetting, ChoiceWay } from './choice-way.js';
import { TargetModel } from './target-model.js';

/** A service, its hosts and its load. */
export interface Scenario {
  readonly name: string;
  readonly regions: number;
  readonly hosts: number;
  readonly targets: number;
  readonly slots: number;
  readonly meanServiceMilliseconds: number;
  readonly sameRegionMilliseconds: number;
  readonly otherRegionMilliseconds: number;
  /**
   * Offered load as a share of what all slots together can take when each is taken from the moment
   * a request leaves its entry host until its answer is back there: the most that is possible
   * without ever giving a target more work than it has slots.
   */
  readonly load: number;
  readonly requests: number;
  readonly seed: number;
}

export interface Outcome {
  readonly p50: number;
  readonly p99: number;
  readonly refusedShare: number;
  readonly mostOverSlots: number;
  readonly connectionsPerTarget: number;
}

interface Arrival {
  readonly at: number;
  readonly host: number;
  readonly serviceMilliseconds: number;
}

/** Shape of the service times: the standard deviation is 0.7 of the mean. */
const SERVICE_TIME_SIGMA = 0.63;
/** Requests are refused that cannot be answered within this many mean service times. */
const DEADLINE_SERVICE_TIMES = 20;

/** Slots of a region; targets are dealt out to regions in turn. */
function slotsOfRegion(scenario: Scenario, region: number): number {
  const targets = Math.ceil((scenario.targets - region) / scenario.regions);
  return targets * scenario.slots;
}

/**
 * The same arrivals for every way: uneven between hosts, and by region in proportion to its slots,
 * which is what placement brings about.
 */
export function makeArrivals(scenario: Scenario): Arrival[] {
  const random = new SeededRandom(scenario.seed);
  const perHost = scenario.hosts / scenario.regions;
  const weights = Array.from(
    { length: scenario.hosts },
    (_, host) =>
      // Within each region the busiest host gets three times what the quietest gets.
      slotsOfRegion(scenario, host % scenario.regions) *
      (0.5 + (perHost > 1 ? Math.floor(host / scenario.regions) / (perHost - 1) : 0)),
  );
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const slots = scenario.targets * scenario.slots;
  const perMillisecond =
    (scenario.load * slots) / occupancy(scenario, scenario.meanServiceMilliseconds);
  const arrivals: Arrival[] = [];
  let at = 0;
  for (let index = 0; index < scenario.requests; index++) {
    at += -Math.log(1 - random.next()) / perMillisecond;
    let pick = random.next() * totalWeight;
    const host = weights.findIndex((weight) => (pick -= weight) < 0);
    arrivals.push({
      at,
      host: Math.max(0, host),
      serviceMilliseconds: scenario.meanServiceMilliseconds * logNormal(random),
    });
  }
  return arrivals;
}

/** One ideal queue for all slots, without any delay of messages between hosts. */
export function idealOutcome(scenario: Scenario, arrivals: readonly Arrival[]): Outcome {
  const free = new Array<number>(scenario.targets * scenario.slots).fill(0);
  const latencies: number[] = [];
  let refused = 0;
  const deadline = scenario.meanServiceMilliseconds * DEADLINE_SERVICE_TIMES;
  for (const arrival of arrivals) {
    let earliest = 0;
    for (let slot = 1; slot < free.length; slot++) {
      if ((free[slot] ?? 0) < (free[earliest] ?? 0)) {
        earliest = slot;
      }
    }
    const start = Math.max(arrival.at, free[earliest] ?? 0);
    const end = start + occupancy(scenario, arrival.serviceMilliseconds);
    if (end - arrival.at > deadline) {
      refused++;
      continue;
    }
    free[earliest] = end;
    latencies.push(end - arrival.at);
  }
  return {
    p50: percentile(latencies, 0.5),
    p99: percentile(latencies, 0.99),
    refusedShare: refused / arrivals.length,
    mostOverSlots: 0,
    connectionsPerTarget: scenario.slots,
  };
}

/** Sends all arrivals through one way of choosing, on a clock of its own. */
export async function simulate(
  scenario: Scenario,
  arrivals: readonly Arrival[],
  makeWay: (setting: ChoiceSetting) => ChoiceWay,
): Promise<Outcome> {
  const clock = new FakeClock();
  const delayMilliseconds = (a: number, b: number): number =>
    a === b ? scenario.sameRegionMilliseconds : scenario.otherRegionMilliseconds;
  const targets = Array.from(
    { length: scenario.targets },
    (_, index) => new TargetModel(`t${index}`, index % scenario.regions, scenario.slots, clock),
  );
  const setting: ChoiceSetting = {
    clock,
    random: new SeededRandom(scenario.seed + 1),
    targets,
    hostRegions: Array.from({ length: scenario.hosts }, (_, host) => host % scenario.regions),
    delayMilliseconds,
    deadlineMilliseconds: scenario.meanServiceMilliseconds * DEADLINE_SERVICE_TIMES,
  };
  const way = makeWay(setting);
  const latencies: number[] = [];
  let refused = 0;
  const serve = async (arrival: Arrival): Promise<void> => {
    const deadlineAt = arrival.at + setting.deadlineMilliseconds;
    const granted = await way.choose(arrival.host, deadlineAt);
    if (granted === undefined) {
      refused++;
      return;
    }
    const { target, host } = granted;
    const delay = delayMilliseconds(setting.hostRegions[host] ?? 0, target.region);
    const sentAt = clock.now();
    await clock.sleep(delay);
    await target.run(host, arrival.serviceMilliseconds);
    await clock.sleep(delay);
    granted.release(clock.now() - sentAt);
    const latency = clock.now() - arrival.at;
    if (latency > setting.deadlineMilliseconds) {
      refused++;
    } else {
      latencies.push(latency);
    }
  };
  const open: Promise<void>[] = [];
  const arrive = async (): Promise<void> => {
    for (const arrival of arrivals) {
      await clock.sleep(arrival.at - clock.now());
      open.push(serve(arrival));
    }
  };
  const arriving = arrive();
  await clock.advance((arrivals.at(-1)?.at ?? 0) + 3 * setting.deadlineMilliseconds);
  await arriving;
  await Promise.all(open);
  await way.stop();
  return {
    p50: percentile(latencies, 0.5),
    p99: percentile(latencies, 0.99),
    refusedShare: refused / arrivals.length,
    mostOverSlots: Math.max(...targets.map((target) => target.mostOverSlots)),
    connectionsPerTarget: Math.max(...targets.map((target) => target.connections)),
  };
}

/** Time for which a request takes a slot, its way there and back included. */
function occupancy(scenario: Scenario, serviceMilliseconds: number): number {
  return serviceMilliseconds + 2 * scenario.sameRegionMilliseconds;
}

function logNormal(random: Random): number {
  const gauss = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  return Math.exp(SERVICE_TIME_SIGMA * gauss - SERVICE_TIME_SIGMA ** 2 / 2);
}
