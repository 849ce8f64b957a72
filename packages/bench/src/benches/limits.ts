import { RATE_UNITS } from '@ferrylock/control';
import type { RateAllotment } from '@ferrylock/steering';
import { BURST_SECONDS, SharedBucket } from '@ferrylock/steering';
import { ControlFleet } from '@ferrylock/test-utils';
import type { ControlNode } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import type { Bench, BenchOptions, Row } from '../report.js';
import { atMost, rounded } from '../report.js';

const CAP_PER_SECOND = 1_200;
const HOSTS = 12;
const LIMIT = 'link-requests/bench/cap';
const WARM_UP_SECONDS = 5;
const MEASURED_SECONDS = 20;
const WINDOW_MILLISECONDS = 1_000;
/** Demand of all hosts together, over the cap. */
const DEMAND_OVER_CAP = 1.2;
/** Between two looks of the daemons at the store, for the baseline that divides through it. */
const STORE_ROUND_MILLISECONDS = 5_000;

/** How much of the demand arrives at each host: some are busy, most are not. */
const WEIGHTS = [30, 20, 15, 10, 8, 5, 4, 3, 2, 1, 1, 1];

/** One way of dividing a limit between hosts. */
interface Way {
  readonly name: string;
  allotment(node: ControlNode, host: number): RateAllotment;
}

const loans: Way = {
  name: 'loans between peers',
  allotment: ({ rates }) => rates,
};

const fixedParts: Way = {
  name: 'fixed equal parts',
  allotment: ({ ledger }) => ({
    usablePerSecond: (limit, cap) => (ledger.lendable(limit) / RATE_UNITS) * cap,
    lowestPerSecond: (_limit, cap) => cap,
    burstShare: () => 1 / HOSTS,
    recordDemand: () => undefined,
  }),
};

/** Parts in proportion to demand, agreed through the store; each host gives up before others gain. */
class PartsThroughStore implements Way {
  readonly name = 'parts by demand through the store';
  readonly #demand = new Array<number>(HOSTS).fill(0);
  #parts = new Array<number>(HOSTS).fill(1 / HOSTS);
  #agreed = new Array<number>(HOSTS).fill(1 / HOSTS);
  #roundAt = 0;

  constructor(readonly clock: () => Clock) {}

  allotment(_node: ControlNode, host: number): RateAllotment {
    return {
      usablePerSecond: (_limit, cap) => {
        this.#round();
        return (this.#parts[host] ?? 0) * cap;
      },
      lowestPerSecond: (_limit, cap) => cap,
      burstShare: () => 1 / HOSTS,
      recordDemand: (_limit, _cap, amount) => {
        this.#demand[host] = (this.#demand[host] ?? 0) + amount;
      },
    };
  }

  #round(): void {
    const now = this.clock().now();
    if (now - this.#roundAt < STORE_ROUND_MILLISECONDS) {
      return;
    }
    this.#roundAt = now;
    const total = this.#demand.reduce((sum, demand) => sum + demand, 0);
    const next = this.#demand.map((demand) => (total === 0 ? 1 / HOSTS : demand / total));
    // In force is the lower of what was agreed last and now: no one gains before all have given up.
    this.#parts = next.map((part, host) => Math.min(part, this.#agreed[host] ?? 0));
    this.#agreed = next;
    this.#demand.fill(0);
  }
}

/** A fault that lasts while the figures are taken. */
interface Fault {
  readonly name: string;
  inject(fleet: ControlFleet): void;
}

const FAULTS: readonly Fault[] = [
  { name: 'none', inject: () => undefined },
  {
    name: 'busiest host dead',
    inject: (fleet) => {
      fleet.kill(fleet.node(0));
    },
  },
  {
    name: 'a quiet host dead',
    inject: (fleet) => {
      fleet.kill(fleet.node(HOSTS - 1));
    },
  },
  {
    name: 'a quiet host paused',
    inject: (fleet) => {
      fleet.node(HOSTS - 1).process.pause();
    },
  },
  {
    name: 'a quiet host cut off',
    inject: (fleet) => {
      const { address, store } = fleet.node(HOSTS - 1);
      store.setCutOff(true);
      fleet.network.setRule((from, to) => from !== address && to !== address);
    },
  },
  {
    name: 'a host restarted',
    inject: (fleet) => {
      fleet.kill(fleet.node(5));
      declareLimit(fleet.startHost(5));
    },
  },
  {
    name: 'store down',
    inject: (fleet) => {
      fleet.engine.setDown(true);
    },
  },
  {
    name: 'host list empty',
    inject: (fleet) => {
      fleet.listed = [];
    },
  },
  {
    name: 'a tenth of messages lost, a tenth twice',
    inject: (fleet) => {
      fleet.network.faults.lossShare = 0.1;
      fleet.network.faults.duplicateShare = 0.1;
    },
  },
  {
    name: 'store down, busiest host dead',
    inject: (fleet) => {
      fleet.engine.setDown(true);
      fleet.kill(fleet.node(0));
    },
  },
];

function declareLimit(node: ControlNode): void {
  node.register.replace('bench', [{ key: LIMIT, units: RATE_UNITS }]);
}

interface Outcome {
  readonly usedShare: number;
  readonly mostInWindow: number;
  readonly boundInWindow: number;
  readonly loanCallsPerSecond: number;
}

/** Requests arrive at hosts that run; what one may not pass is refused at once. */
async function measure(
  way: Way,
  fault: Fault,
  fleet: ControlFleet,
  seed: number,
): Promise<Outcome> {
  const random = new SeededRandom(seed);
  const buckets = new Map<ControlNode, SharedBucket>();
  const passedAt: number[] = [];
  const totalWeight = WEIGHTS.reduce((sum, weight) => sum + weight, 0);
  fleet.nodes.forEach(declareLimit);
  const serve = (node: ControlNode, host: number): void => {
    const bucket =
      buckets.get(node) ??
      new SharedBucket(LIMIT, CAP_PER_SECOND, way.allotment(node, host), fleet.clock);
    buckets.set(node, bucket);
    bucket.recordDemand(1);
    if (bucket.has(1)) {
      bucket.take(1);
      passedAt.push(fleet.clock.now());
    }
  };
  const run = async (seconds: number): Promise<void> => {
    const end = fleet.clock.now() + seconds * 1_000;
    while (fleet.clock.now() < end) {
      await fleet.clock.advance(
        -Math.log(1 - random.next()) * (1_000 / (CAP_PER_SECOND * DEMAND_OVER_CAP)),
      );
      let pick = random.next() * totalWeight;
      const host = WEIGHTS.findIndex((weight) => (pick -= weight) < 0);
      // A dead host's callers go to the next one.
      const id = `host-${String(host).padStart(4, '0')}`;
      const node =
        fleet.nodes.find((candidate) => candidate.id === id) ??
        fleet.node(host % fleet.nodes.length);
      serve(node, host);
    }
  };
  await run(WARM_UP_SECONDS);
  fault.inject(fleet);
  await run(WARM_UP_SECONDS);
  const from = fleet.clock.now();
  const callsBefore = fleet.network.counts.calls;
  await run(MEASURED_SECONDS);
  const measured = passedAt.filter((at) => at >= from);
  return {
    usedShare: measured.length / (CAP_PER_SECOND * MEASURED_SECONDS),
    mostInWindow: mostInAnyWindow(passedAt),
    boundInWindow: CAP_PER_SECOND + Math.max(CAP_PER_SECOND * BURST_SECONDS, HOSTS),
    loanCallsPerSecond: (fleet.network.counts.calls - callsBefore) / MEASURED_SECONDS / HOSTS,
  };
}

function mostInAnyWindow(times: readonly number[]): number {
  let most = 0;
  let first = 0;
  times.forEach((at, index) => {
    while ((times[first] ?? at) <= at - WINDOW_MILLISECONDS) {
      first++;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}

async function measureFresh(
  way: (fleet: ControlFleet) => Way,
  fault: Fault,
  { seed }: BenchOptions,
): Promise<Row> {
  const fleet = await ControlFleet.start({ domains: 6, hostsPerDomain: 2, seed });
  const chosen = way(fleet);
  const outcome = await measure(chosen, fault, fleet, seed);
  fleet.stop();
  return {
    way: chosen.name,
    chosen: chosen === loans,
    fault: fault.name,
    roomLostPercent: rounded(Math.max(0, 1 - outcome.usedShare) * 100),
    mostInOneSecond: outcome.mostInWindow,
    capAndBurst: outcome.boundInWindow,
    callsPerHostSecond: rounded(outcome.loanCallsPerSecond),
  };
}

/** Ways of dividing a cap between twelve hosts with uneven demand, with and without faults. */
export const limits: Bench = async (options) => {
  const rows: Row[] = [];
  const none = FAULTS.slice(0, 1);
  const makeStoreParts = (fleet: ControlFleet): Way => new PartsThroughStore(() => fleet.clock);
  const plans: [(fleet: ControlFleet) => Way, readonly Fault[]][] = [
    [() => fixedParts, none],
    [makeStoreParts, none],
    [() => loans, FAULTS],
  ];
  for (const [way, faults] of plans) {
    for (const fault of faults) {
      options.progress(fault.name);
      rows.push(await measureFresh(way, fault, options));
    }
  }
  const ofLoans = rows.filter((row) => row.chosen === true);
  const lost = Number(ofLoans.find((row) => row.fault === 'none')?.roomLostPercent);
  const over = Math.max(
    ...ofLoans.map((row) => Number(row.mostInOneSecond) - Number(row.capAndBurst)),
  );
  return {
    setup: { hosts: HOSTS, capPerSecond: CAP_PER_SECOND, demandOverCap: DEMAND_OVER_CAP },
    rows,
    targets: [
      atMost('room lost with 12 hosts and uneven demand', 5, lost, '%'),
      atMost('requests over cap and burst in any second, any fault', 0, over, 'requests'),
    ],
  };
};
