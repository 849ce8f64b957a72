import { ControlFleet } from '@ferrylock/test-utils';
import { measureAtRest, startFleet } from '../fleet-costs.js';
import type { FleetSize } from '../fleet-costs.js';
import { measurePeerCall } from '../peer-call-cost.js';
import { percentile } from '../percentile.js';
import type { Bench, Row } from '../report.js';
import { atMost, rounded } from '../report.js';

const SIZES: readonly FleetSize[] = [
  { domains: 6, hostsPerDomain: 2 },
  { domains: 2, hostsPerDomain: 25 },
  { domains: 4, hostsPerDomain: 25 },
  { domains: 8, hostsPerDomain: 25 },
];
const CHANGES = 20;
const STEP_MILLISECONDS = 1;
const LONGEST_MILLISECONDS = 10_000;

/** Applies one change and tells how long each daemon took to have it in force. */
async function timeOneChange(fleet: ControlFleet, generation: number): Promise<number[]> {
  const account = 'bench';
  const node = fleet.node(generation % fleet.nodes.length);
  const startedAt = fleet.clock.now();
  const applied = node.configuration.apply(
    {
      account,
      changeId: `c${generation}`,
      basedOn: generation - 1,
      author: 'bench',
      kind: 'apply',
    },
    ControlFleet.declaration(account, generation % 10),
  );
  const took = new Map<string, number>();
  while (took.size < fleet.nodes.length && fleet.clock.now() - startedAt < LONGEST_MILLISECONDS) {
    await fleet.clock.advance(STEP_MILLISECONDS);
    for (const { id, replica } of fleet.nodes) {
      if (!took.has(id) && replica.generation(account) >= generation) {
        took.set(id, fleet.clock.now() - startedAt);
      }
    }
  }
  if ((await applied).isErr() || took.size < fleet.nodes.length) {
    throw new Error('a change did not come into force');
  }
  return [...took.values()];
}

/** How long a change takes to be in force at the last daemon, and what the fleet costs at rest. */
export const spread: Bench = async ({ seed, progress }) => {
  const rows: Row[] = [];
  const callCost = await measurePeerCall();
  let slowest = 0;
  for (const lossPercent of [0, 1]) {
    for (const size of SIZES) {
      progress(`${size.domains * size.hostsPerDomain} daemons, ${lossPercent} % loss …`);
      const fleet = await startFleet(size, seed);
      fleet.engine.faults.slowMilliseconds = 5;
      const costs = await measureAtRest(fleet, size);
      fleet.network.faults.lossShare = lossPercent / 100;
      const times: number[] = [];
      for (let generation = 1; generation <= CHANGES; generation++) {
        times.push(...(await timeOneChange(fleet, generation)));
      }
      fleet.stop();
      const last = Math.max(...times);
      slowest = lossPercent === 0 ? Math.max(slowest, last) : slowest;
      rows.push({
        daemons: costs.daemons,
        domains: size.domains,
        lossPercent,
        inForceP50Ms: rounded(percentile(times, 0.5)),
        inForceP99Ms: rounded(percentile(times, 0.99)),
        inForceLastMs: rounded(last),
        callsPerDaemonSecond: rounded(costs.callsPerSecond),
        bytesPerDaemonSecond: rounded(costs.bytesPerSecond),
        cpuPercentOfCore: rounded((costs.cpuMilliseconds + costs.callsPerSecond * callCost) / 10),
        storeReadsPerSecond: rounded(costs.storeReadsPerSecond),
        watches: costs.watches,
      });
    }
  }
  const largest = rows.find((row) => row.daemons === 200 && row.lossPercent === 0);
  return {
    setup: {
      transport: 'in memory, 0.5 to 1.5 ms one way',
      storeMs: 5,
      changes: CHANGES,
      cpuMsOfOneHttpCall: rounded(callCost),
    },
    rows,
    targets: [
      atMost('in force at the last of 200 daemons', 1_000, slowest, 'ms'),
      atMost(
        'control bytes a daemon and second',
        18_432,
        Number(largest?.bytesPerDaemonSecond),
        'B/s',
      ),
      atMost('processor time for control', 1.2, Number(largest?.cpuPercentOfCore), '% of a core'),
    ],
  };
};
