import type { DeclarationInput } from '@ferrylock/schema';
import { TargetStandIn } from '@ferrylock/test-utils';
import { Pool } from 'undici';
import { percentile } from '../percentile.js';
import type { Bench, Row } from '../report.js';
import { atLeast, atMost, rounded } from '../report.js';
import { startSingleDaemon } from '../single-daemon.js';

const SMALL_BYTES = 64;
const LARGE_BYTES = 1024 * 1024;
const CONNECTIONS = 32;

interface Workload {
  readonly name: string;
  readonly answerBytes: number;
  /** Requests one after another, for the latency. */
  readonly sequential: number;
  /** Requests many at a time, for the throughput. */
  readonly parallel: number;
}

const WORKLOADS: readonly Workload[] = [
  { name: 'small answers', answerBytes: SMALL_BYTES, sequential: 4_000, parallel: 20_000 },
  { name: '1 MiB answers', answerBytes: LARGE_BYTES, sequential: 300, parallel: 1_000 },
];

interface Figures {
  readonly p50: number;
  readonly p99: number;
  readonly perSecond: number;
}

async function get(pool: Pool, path: string): Promise<void> {
  const response = await pool.request({ method: 'GET', path });
  await response.body.dump({ limit: LARGE_BYTES * 2 });
  if (response.statusCode !== 200) {
    throw new Error(`status ${response.statusCode}`);
  }
}

async function measureLatency(pool: Pool, path: string, count: number): Promise<number[]> {
  const samples: number[] = [];
  for (let index = 0; index < count; index++) {
    const startedAt = performance.now();
    await get(pool, path);
    samples.push(performance.now() - startedAt);
  }
  return samples;
}

async function measureThroughput(pool: Pool, path: string, count: number): Promise<number> {
  let left = count;
  const startedAt = performance.now();
  const worker = async (): Promise<void> => {
    while (left-- > 0) {
      await get(pool, path);
    }
  };
  await Promise.all(Array.from({ length: CONNECTIONS }, worker));
  return count / ((performance.now() - startedAt) / 1_000);
}

/** Direct and through the daemon by turns, so that noise of the machine meets both alike. */
async function measurePair(
  direct: Pool,
  proxied: Pool,
  path: string,
  workload: Workload,
): Promise<{ direct: Figures; proxied: Figures }> {
  const ways = [
    { pool: direct, path: '/work', latency: [] as number[], perSecond: [] as number[] },
    { pool: proxied, path, latency: [] as number[], perSecond: [] as number[] },
  ];
  for (let round = 0; round < 5; round++) {
    for (const way of ways) {
      const samples = await measureLatency(way.pool, way.path, workload.sequential / 5);
      const perSecond = await measureThroughput(way.pool, way.path, workload.parallel / 5);
      // The first round warms the code up and is not counted.
      if (round > 0) {
        way.latency.push(...samples);
        way.perSecond.push(perSecond);
      }
    }
  }
  const figures = ways.map(({ latency, perSecond }) => ({
    p50: percentile(latency, 0.5),
    p99: percentile(latency, 0.99),
    perSecond: percentile(perSecond, 0.5),
  }));
  const [first, second] = figures;
  if (first === undefined || second === undefined) {
    throw new Error('nothing was measured');
  }
  return { direct: first, proxied: second };
}

async function measure(workload: Workload): Promise<{ rows: Row[]; added: number; share: number }> {
  const target = new TargetStandIn({ slots: CONNECTIONS, answerBytes: workload.answerBytes });
  const port = await target.start();
  const declaration: DeclarationInput = {
    account: 'atec',
    failureDomains: { 'fyn-1': { region: 'fyn' } },
    services: {
      'quote-desk': {
        repeat: 'free',
        targets: {
          t1: { address: '127.0.0.1', port, slots: CONNECTIONS * 2, failureDomain: 'fyn-1' },
        },
      },
    },
  };
  const daemon = await startSingleDaemon(declaration);
  const direct = new Pool(`http://127.0.0.1:${port}`, { connections: CONNECTIONS });
  const proxied = new Pool(`http://${daemon.addresses.traffic}`, { connections: CONNECTIONS });
  const figures = await measurePair(direct, proxied, '/s/atec/quote-desk/work', workload);
  await Promise.all([direct.destroy(), proxied.destroy()]);
  await daemon.kill();
  await target.stop();
  const row = (way: string, { p50, p99, perSecond }: Figures): Row => ({
    workload: workload.name,
    way,
    p50Ms: rounded(p50),
    p99Ms: rounded(p99),
    perSecond: rounded(perSecond),
  });
  return {
    rows: [row('direct', figures.direct), row('through ferrylock', figures.proxied)],
    added: (figures.proxied.p50 - figures.direct.p50) / figures.direct.p50,
    share: figures.proxied.perSecond / figures.direct.perSecond,
  };
}

/** What the request path costs, against the same caller going straight to the same target. */
export const proxy: Bench = async ({ progress }) => {
  const rows: Row[] = [];
  const targets = [];
  for (const workload of WORKLOADS) {
    progress(`${workload.name} …`);
    const result = await measure(workload);
    rows.push(...result.rows);
    targets.push(
      atMost(`${workload.name}: added p50 over direct p50`, 1, result.added, '×'),
      atLeast(`${workload.name}: throughput over direct`, 0.35, result.share, '×'),
    );
  }
  return { setup: { connections: CONNECTIONS, threads: 1 }, rows, targets };
};
