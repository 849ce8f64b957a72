import { AllotmentLedger, ConfigurationReplica, makeDelta } from '@ferrylock/control';
import { ServiceMetrics } from '@ferrylock/daemon';
import type { ConfigurationDocument } from '@ferrylock/schema';
import { declarationSchema } from '@ferrylock/schema';
import { ClientBlockTable, IssuedKeys } from '@ferrylock/steering';
import { SystemClock } from '@ferrylock/utils';
import { measureAtRest, startFleet } from '../fleet-costs.js';
import type { FleetCosts } from '../fleet-costs.js';
import { heapInUse } from '../heap.js';
import type { Point } from '../linear-fit.js';
import type { FittedSlope, Slope } from './slope.js';
import { fitSlope } from './slope.js';

/** The size that the system is built towards. */
export const TARGET = {
  daemons: 4_600,
  domains: 101,
  hostsPerDomain: 46,
  clientBlocks: 110_000,
  sites: 1_400,
  accounts: 300,
  lookupsPerSecond: 7_500_000,
  changesPerDay: 6_100,
} as const;

const HOSTS_PER_DOMAIN = [6, 12, 25, 46];
const DOMAINS = [2, 4, 8, 16];
const DOMAINS_HOSTS = 6;
const BLOCKS = [10_000, 30_000, 60_000, 110_000];
const ACCOUNTS = [50, 100, 200, 300];
const SERIES = [100, 200, 400, 800];
const LOANS = [1_000, 2_000, 4_000, 8_000];
const KEYS = [100_000, 200_000, 400_000, 800_000];
const BLOCKS_PER_ACCOUNT = Math.ceil(TARGET.clientBlocks / TARGET.accounts);

type Progress = (text: string) => void;

/** Slopes of the daemons' dealings with one another, by hosts of a domain and by domains. */
export async function fleetSlopes(seed: number, progress: Progress): Promise<FittedSlope[]> {
  const byHosts: FleetCosts[] = [];
  for (const hostsPerDomain of HOSTS_PER_DOMAIN) {
    progress(`2 domains of ${hostsPerDomain} hosts …`);
    byHosts.push(await measureFleet({ domains: 2, hostsPerDomain }, seed));
  }
  const byDomains: FleetCosts[] = [];
  for (const domains of DOMAINS) {
    progress(`${domains} domains of ${DOMAINS_HOSTS} hosts …`);
    byDomains.push(await measureFleet({ domains, hostsPerDomain: DOMAINS_HOSTS }, seed));
  }
  const hosts = (name: string, yLabel: string, cost: (costs: FleetCosts) => number): Slope => ({
    name: `${name}-by-hosts`,
    xLabel: 'hosts of a failure domain',
    yLabel,
    points: byHosts.map((costs) => ({ x: costs.hostsPerDomain, y: cost(costs) })),
    targetX: TARGET.hostsPerDomain,
  });
  const domains = (name: string, yLabel: string, cost: (costs: FleetCosts) => number): Slope => ({
    name: `${name}-by-domains`,
    xLabel: 'failure domains',
    yLabel,
    points: byDomains.map((costs) => ({ x: costs.domains, y: cost(costs) })),
    targetX: TARGET.domains,
  });
  return [
    hosts('calls', 'calls a daemon and second', (costs) => costs.callsPerSecond),
    hosts('bytes', 'bytes a daemon and second', (costs) => costs.bytesPerSecond),
    hosts('control-cpu', 'ms a daemon and second, without HTTP', (costs) => costs.cpuMilliseconds),
    domains('calls', 'calls a daemon and second', (costs) => costs.callsPerSecond),
    domains('bytes', 'bytes a daemon and second', (costs) => costs.bytesPerSecond),
    domains(
      'control-cpu',
      'ms a daemon and second, without HTTP',
      (costs) => costs.cpuMilliseconds,
    ),
    domains('store-reads', 'reads a second, all daemons', (costs) => costs.storeReadsPerSecond),
    domains('watches', 'watches, all daemons', (costs) => costs.watches),
  ].map(fitSlope);
}

async function measureFleet(
  size: { domains: number; hostsPerDomain: number },
  seed: number,
): Promise<FleetCosts> {
  const fleet = await startFleet(size, seed);
  const costs = await measureAtRest(fleet, size);
  fleet.stop();
  return costs;
}

/** Slopes of what a daemon holds in memory. */
export async function stateSlopes(progress: Progress): Promise<FittedSlope[]> {
  progress('state …');
  return [
    fitSlope({
      name: 'block-table-bytes',
      xLabel: 'client blocks',
      yLabel: 'bytes',
      points: BLOCKS.map((count) => ({
        x: count,
        y: new ClientBlockTable(makeBlocks(count)).bytes,
      })),
      targetX: TARGET.clientBlocks,
    }),
    fitSlope({
      name: 'block-table-build',
      xLabel: 'client blocks',
      yLabel: 'ms',
      points: BLOCKS.map((count) => ({ x: count, y: timeBuild(count) })),
      targetX: TARGET.clientBlocks,
    }),
    await heapSlope('replica-bytes', 'accounts', ACCOUNTS, TARGET.accounts, (count) => {
      const replica = new ConfigurationReplica();
      for (let index = 0; index < count; index++) {
        replica.offer(makeDocument(index, 1));
      }
      return replica;
    }),
    await heapSlope('metrics-bytes', 'series', SERIES, TARGET.accounts * 3, (count) => {
      const metrics = new ServiceMetrics();
      for (let index = 0; index < count; index++) {
        const labels = { account: `a${index}`, service: 's', class: 'free' };
        metrics.record(labels, { kind: 'answered', status: 200 }, 10);
      }
      return metrics;
    }),
    await heapSlope('loans-bytes', 'loans out', LOANS, 2_000, (count) => {
      const ledger = new AllotmentLedger(new SystemClock(), { ownedUnits: () => 1_000_000 });
      for (let index = 0; index < count; index++) {
        const limit = `slots/a/s/t${index % 200}`;
        const loan = { loanId: `s${index}`, borrower: 'host#incarnation', limit, units: 1 };
        ledger.lend({ ...loan, durationMilliseconds: 600_000, sequence: 1 }, 1);
      }
      return ledger;
    }),
    await heapSlope('keys-bytes', 'keys held', KEYS, 262_144, (count) => {
      const keys = new IssuedKeys('incarnation', new SystemClock(), count);
      for (let index = 0; index < count; index++) {
        keys.issue('atec', 'booking-desk');
      }
      return keys;
    }),
  ];
}

/** Bytes of one change as it is pushed, by the size of the account's document. */
export function changeSlope(): FittedSlope {
  const points = [100, 366, 1_000, 3_000].map((blocks) => {
    const before = makeDocument(0, 1, blocks);
    const after = { ...makeDocument(0, 2, blocks) };
    after.declaration = { ...after.declaration, share: 2 };
    return { x: blocks, y: JSON.stringify(makeDelta(before, after)).length };
  });
  return fitSlope({
    name: 'change-bytes',
    xLabel: 'client blocks of the account',
    yLabel: 'bytes of one pushed change',
    points,
    targetX: BLOCKS_PER_ACCOUNT,
  });
}

async function heapSlope(
  name: string,
  xLabel: string,
  sizes: readonly number[],
  targetX: number,
  make: (count: number) => unknown,
): Promise<FittedSlope> {
  const points: Point[] = [];
  const kept: unknown[] = [];
  make(sizes[0] ?? 1);
  for (const size of sizes) {
    const before = await heapInUse();
    kept.push(make(size));
    points.push({ x: size, y: (await heapInUse()) - before });
  }
  kept.length = 0;
  return fitSlope({ name, xLabel, yLabel: 'bytes', points, targetX });
}

function makeBlocks(count: number): { cidr: string; value: number }[] {
  return Array.from({ length: count }, (_, index) => ({
    cidr: `${11 + Math.floor(index / 65_536)}.${(index >> 8) & 255}.${index & 255}.0/24`,
    value: index,
  }));
}

function timeBuild(count: number): number {
  const blocks = makeBlocks(count);
  const samples = [1, 2, 3].map(() => {
    const startedAt = performance.now();
    new ClientBlockTable(blocks);
    return performance.now() - startedAt;
  });
  return Math.min(...samples);
}

/** A document of an account with its share of the client blocks and of the sites. */
function makeDocument(
  index: number,
  generation: number,
  blocks = BLOCKS_PER_ACCOUNT,
): ConfigurationDocument {
  const sites = 5;
  const domains = Array.from({ length: sites }, (_, site) => [
    `site-${site}`,
    { region: `region-${site}` },
  ]);
  const targets = Array.from({ length: 20 }, (_, target) => [
    `t${target}`,
    { address: '10.0.0.1', port: 8080, slots: 6, failureDomain: `site-${target % sites}` },
  ]);
  const clientBlocks = makeBlocks(blocks).map(({ cidr }, block) => [
    `block-${block}`,
    { cidr, place: `site-${block % sites}` },
  ]);
  return {
    account: `account-${index}`,
    generation,
    declaration: declarationSchema.parse({
      account: `account-${index}`,
      failureDomains: Object.fromEntries(domains) as object,
      services: { desk: { repeat: 'free', targets: Object.fromEntries(targets) as object } },
      clientBlocks: Object.fromEntries(clientBlocks) as object,
    }),
    drains: [],
    changes: [
      {
        generation,
        changeId: `c${generation}`,
        basedOn: generation - 1,
        author: 'bench',
        at: '2026-01-01T00:00:00Z',
        kind: 'apply',
      },
    ],
  };
}
