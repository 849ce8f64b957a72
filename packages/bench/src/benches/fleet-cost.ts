import { EntryFleet, FakeClock } from '@ferrylock/test-utils';
import type { NetworkTraffic } from '@ferrylock/test-utils';
import { measureBareStart, measureHostProcess } from '../fleet/measure-host-process.js';
import type { Bench, Row } from '../report.js';
import { rounded } from '../report.js';

const SIZES = [65, 195];
const SERVICES = 3;
const LARGE_HOSTS_PER_DOMAIN = 3;
const REQUESTS_PER_SECOND = 1_000;
const WORK_MILLISECONDS = 500;
const PHASES = { start: 5_000, rest: 5_000, callers: 5_000, targets: 3_000 } as const;
const MILLISECONDS_PER_SECOND = 1_000;

/** What one phase of an emulated fleet costs, for each host and second. */
async function measurePhase(
  fleet: EntryFleet,
  clock: FakeClock,
  phase: keyof typeof PHASES,
): Promise<Row> {
  const before: NetworkTraffic = { ...fleet.counts };
  const cpuBefore = process.cpuUsage();
  await clock.advance(PHASES[phase]);
  const cpu = process.cpuUsage(cpuBefore);
  const each = (fleet.hosts.length * PHASES[phase]) / MILLISECONDS_PER_SECOND;
  const perHost = (count: keyof NetworkTraffic): number =>
    rounded((fleet.counts[count] - before[count]) / each);
  return {
    hosts: fleet.hosts.length,
    phase,
    cpuMs: rounded((cpu.user + cpu.system) / MILLISECONDS_PER_SECOND / each),
    wakeUps: perHost('wakeUps'),
    datagrams: perHost('datagrams'),
    bytes: perHost('bytes'),
    bytesBetweenRegions: perHost('bytesBetweenRegions'),
    calls: perHost('calls'),
    callBytes: perHost('callBytes'),
  };
}

async function measureFleet(hosts: number, seed: number): Promise<Row[]> {
  const clock = new FakeClock();
  const fleet = new EntryFleet({
    clock,
    hosts,
    seed,
    domains: hosts > 100 ? 9 : 6,
    largeHostsPerDomain: LARGE_HOSTS_PER_DOMAIN,
    targetsPerService: hosts,
    services: SERVICES,
  });
  fleet.start();
  const rows = [
    await measurePhase(fleet, clock, 'start'),
    await measurePhase(fleet, clock, 'rest'),
  ];
  fleet.addCallers(REQUESTS_PER_SECOND, WORK_MILLISECONDS);
  rows.push(await measurePhase(fleet, clock, 'callers'));
  fleet.addTargets(Math.round(hosts / 7));
  rows.push(await measurePhase(fleet, clock, 'targets'));
  return rows;
}

/**
 * What entry hosts cost for the fleet's sake and for a request. Fleets of hosts are emulated in one
 * process, without sockets: counts are exact, processor time is that of warm code. Starts and requests
 * are measured on a process of its own, as multiples of a bare start of Node.js.
 */
export const fleetCost: Bench = async ({ seed, progress }) => {
  const rows: Row[] = [];
  for (const hosts of SIZES) {
    progress(`${hosts} emulated hosts …`);
    rows.push(...(await measureFleet(hosts, seed)));
  }
  progress('one host’s process …');
  const bare = await measureBareStart();
  for (const kind of ['pooled', 'fresh', 'upload'] as const) {
    const { startMilliseconds, requestMilliseconds, residentMegabytes } =
      await measureHostProcess(kind);
    rows.push({
      phase: `${kind} requests`,
      startOverBare: rounded(startMilliseconds / bare),
      requestOverBare: rounded(requestMilliseconds / bare),
      residentMegabytes: rounded(residentMegabytes),
    });
  }
  return { setup: { seed, bareStartMs: rounded(bare) }, rows, targets: [] };
};
