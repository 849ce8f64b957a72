import { declarationSchema } from '@ferrylock/schema';
import { DistanceMap, ServiceGate, SlotBook, TargetSet, taskRank } from '@ferrylock/steering';
import { FakeClock } from '@ferrylock/test-utils';
import { Cancellation, SeededRandom } from '@ferrylock/utils';
import { percentile } from '../percentile.js';
import type { Bench, Row } from '../report.js';
import { atLeast, rounded } from '../report.js';

const TARGETS = 5;
const SLOTS = 4;
const SERVICE_MILLISECONDS = 30;
const DEADLINE_MILLISECONDS = 500;
/** Time that a caller takes between two calls of a task. */
const PAUSE_MILLISECONDS = 10;
const LOADS = [1, 1.5, 2, 4];
const CALLS_PER_TASK = [1, 2, 4];
const WARM_UP_SECONDS = 2;
const MEASURED_SECONDS = 4;
/** The load goes on for so long that tasks begun in the measured time can end. */
const RUN_OUT_SECONDS = 2;

/** One way of dealing with more work than can be done. */
interface Way {
  readonly name: string;
  readonly chosen: boolean;
  /** Calls refused on sight, as a share, by a balance that knows load and saturation exactly. */
  readonly shedShare: (load: number) => number;
  /** Whether calls are kept in an unbounded queue, however late they get. */
  readonly unbounded: boolean;
  /** Whether the calls of a task share a rank. */
  readonly ranked: boolean;
}

const WAYS: readonly Way[] = [
  { name: 'no control', chosen: false, shedShare: () => 0, unbounded: true, ranked: false },
  {
    name: 'random shedding',
    chosen: false,
    shedShare: (load) => Math.max(0, 1 - 1 / load),
    unbounded: true,
    ranked: false,
  },
  { name: 'bounded queue', chosen: false, shedShare: () => 0, unbounded: false, ranked: false },
  {
    name: 'bounded queue, ranks by task',
    chosen: true,
    shedShare: () => 0,
    unbounded: false,
    ranked: true,
  },
];

/** A deadline so far off that the gate's own bounds never act. */
const NO_DEADLINE_MILLISECONDS = 1e9;

interface Outcome {
  readonly goodputShare: number;
  readonly p99: number;
}

function makeGate(clock: FakeClock, random: SeededRandom, unbounded: boolean): ServiceGate {
  const targets = Object.fromEntries(
    Array.from({ length: TARGETS }, (_, index) => [
      `t${index}`,
      { address: '127.0.0.1', port: 1, slots: SLOTS, failureDomain: 'd' },
    ]),
  );
  const declaration = declarationSchema.parse({
    account: 'bench',
    failureDomains: { d: { region: 'r' } },
    services: { desk: { repeat: 'free', targets } },
  });
  const distances = new DistanceMap(declaration);
  const set = new TargetSet('bench', 'desk');
  set.update(declaration, [], distances, 0);
  const allotment = { usable: () => SLOTS, lendable: () => SLOTS };
  const entryPlace = { failureDomain: 'd', region: 'r' };
  const book = new SlotBook({ targets: set, allotment, entryPlace, clock, random }, distances);
  return new ServiceGate({
    book,
    clock,
    queueLimit: unbounded ? Infinity : undefined,
    hasOpenTarget: () => true,
    opensInSeconds: () => 1,
    onShortage: () => undefined,
    onUnused: () => undefined,
  });
}

async function simulate(way: Way, load: number, calls: number, seed: number): Promise<Outcome> {
  const clock = new FakeClock();
  const random = new SeededRandom(seed);
  const gate = makeGate(clock, random, way.unbounded);
  const tasksPerSecond = (load * TARGETS * SLOTS * 1_000) / SERVICE_MILLISECONDS / calls;
  const measuredFrom = WARM_UP_SECONDS * 1_000;
  const measuredUntil = measuredFrom + MEASURED_SECONDS * 1_000;
  const until = measuredUntil + RUN_OUT_SECONDS * 1_000;
  const latencies: number[] = [];
  let offered = 0;
  let succeeded = 0;
  const call = async (rank: number): Promise<boolean> => {
    if (random.next() < way.shedShare(load)) {
      return false;
    }
    const startedAt = clock.now();
    const patience = way.unbounded ? NO_DEADLINE_MILLISECONDS : DEADLINE_MILLISECONDS;
    const entered = await gate.enter({
      deadlineAt: startedAt + patience,
      caller: new Cancellation(),
      rank,
      accept: () => true,
      onTaken: () => undefined,
    });
    if (entered.isErr()) {
      return false;
    }
    const service = SERVICE_MILLISECONDS * (0.5 + random.next());
    await clock.sleep(service);
    gate.leave(entered.value, service);
    const latency = clock.now() - startedAt;
    latencies.push(latency);
    return latency <= DEADLINE_MILLISECONDS;
  };
  const runTask = async (id: number, counted: boolean): Promise<void> => {
    for (let index = 0; index < calls; index++) {
      const name = way.ranked ? `task ${id}` : `task ${id} call ${index}`;
      if (!(await call(way.ranked ? taskRank(name) : 0))) {
        return;
      }
      // Without a pause the next call would find the place in the queue that this one has just left.
      await clock.sleep(PAUSE_MILLISECONDS * (0.5 + random.next()));
    }
    succeeded += counted ? 1 : 0;
  };
  const arrive = async (): Promise<void> => {
    for (let id = 0; clock.now() < until; id++) {
      const counted = clock.now() >= measuredFrom && clock.now() < measuredUntil;
      offered += counted ? 1 : 0;
      void runTask(id, counted);
      await clock.sleep((-Math.log(1 - random.next()) * 1_000) / tasksPerSecond);
    }
  };
  void arrive();
  await clock.advance(until);
  const optimum = Math.min(1, 1 / load) * offered;
  return { goodputShare: succeeded / optimum, p99: percentile(latencies, 0.99) };
}

/** Goodput of whole tasks against the optimum, saturation rate over offered rate. */
export const overload: Bench = async ({ seed, progress }) => {
  const rows: Row[] = [];
  let worstAtTwice = Infinity;
  for (const calls of CALLS_PER_TASK) {
    for (const load of LOADS) {
      progress(`${calls} calls a task at ${load} of saturation …`);
      for (const way of WAYS) {
        const { goodputShare, p99 } = await simulate(way, load, calls, seed);
        if (way.chosen && load === 2) {
          worstAtTwice = Math.min(worstAtTwice, goodputShare);
        }
        rows.push({
          callsPerTask: calls,
          load,
          way: way.name,
          chosen: way.chosen,
          goodputOverOptimum: rounded(goodputShare),
          p99Ms: rounded(p99),
        });
      }
    }
  }
  return {
    setup: {
      slots: TARGETS * SLOTS,
      serviceMs: SERVICE_MILLISECONDS,
      deadlineMs: DEADLINE_MILLISECONDS,
    },
    rows,
    targets: [atLeast('goodput at 2× over the optimum', 0.9, worstAtTwice, '×')],
  };
};
