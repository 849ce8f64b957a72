import type { DeclarationInput } from '@ferrylock/schema';
import { ClientBlockTable } from '@ferrylock/steering';
import { SeededRandom } from '@ferrylock/utils';
import autocannon from 'autocannon';
import type { Bench } from '../report.js';
import { atLeast, rounded } from '../report.js';
import { startSingleDaemon } from '../single-daemon.js';

const BLOCKS = 110_000;
const PLACES = 1_400;
const TABLE_LOOKUPS = 20_000_000;
const HTTP_SECONDS = 8;
const ADDRESSES = 4_096;

/** Blocks of 256 addresses, with every tenth inside a larger one. */
function makeBlocks(count: number): { cidr: string; place: string; within?: string }[] {
  return Array.from({ length: count }, (_, index) => {
    const first = 11 + Math.floor(index / 65_536);
    const cidr = `${first}.${(index >> 8) & 255}.${index & 255}.0/24`;
    return { cidr, place: `site-${index % PLACES}` };
  });
}

function makeDeclaration(): DeclarationInput {
  const places = Array.from({ length: PLACES }, (_, index) => [
    `site-${index}`,
    { region: `region-${index % 32}` },
  ]);
  return {
    account: 'atec',
    failureDomains: Object.fromEntries(places) as DeclarationInput['failureDomains'],
    services: { 'quote-desk': { repeat: 'free' } },
    clientBlocks: Object.fromEntries(
      makeBlocks(BLOCKS).map((block, index) => [`block-${index}`, block]),
    ),
  };
}

function measureTable(seed: number): { perSecond: number; bytesPerBlock: number; buildMs: number } {
  const entries = makeBlocks(BLOCKS).map(({ cidr }, value) => ({ cidr, value }));
  const buildStart = performance.now();
  const table = new ClientBlockTable(entries);
  const buildMs = performance.now() - buildStart;
  const random = new SeededRandom(seed);
  const addresses = Uint32Array.from({ length: 65_536 }, () =>
    Math.floor(11 * 2 ** 24 + random.next() * 2 * 2 ** 24),
  );
  let found = 0;
  const startedAt = performance.now();
  for (let index = 0; index < TABLE_LOOKUPS; index++) {
    found += table.findIpv4(addresses[index & 65_535] ?? 0) >= 0 ? 1 : 0;
  }
  const seconds = (performance.now() - startedAt) / 1_000;
  if (found === 0) {
    throw new Error('no look-up found a block');
  }
  return {
    perSecond: TABLE_LOOKUPS / seconds,
    bytesPerBlock: table.bytes / BLOCKS,
    buildMs,
  };
}

async function measureHttp(
  seed: number,
): Promise<{ perSecond: number; p99: number; core: number }> {
  const daemon = await startSingleDaemon(makeDeclaration());
  const random = new SeededRandom(seed);
  const requests = Array.from({ length: ADDRESSES }, () => {
    const address = `${11 + Math.floor(random.next() * 2)}.${Math.floor(random.next() * 256)}.${Math.floor(random.next() * 256)}.9`;
    return { path: `/v1/lookup?account=atec&service=quote-desk&address=${address}` };
  });
  const cpuBefore = process.cpuUsage();
  const startedAt = performance.now();
  // The callers run in a thread of their own, so that the daemon has its core to itself.
  const result = await autocannon({
    url: `http://${daemon.addresses.traffic}`,
    connections: 50,
    duration: HTTP_SECONDS,
    workers: 2,
    requests,
  });
  const elapsed = (performance.now() - startedAt) * 1_000;
  const cpu = process.cpuUsage(cpuBefore);
  await daemon.kill();
  if (result.non2xx > 0 || result.errors > 0) {
    throw new Error(`${result.non2xx} refusals and ${result.errors} errors`);
  }
  return {
    perSecond: result.requests.average,
    p99: result.latency.p99,
    core: (cpu.user + cpu.system) / elapsed,
  };
}

/** Look-ups by the table alone and over HTTP, with the client blocks of the target size. */
export const lookup: Bench = async ({ seed, progress }) => {
  progress('table …');
  const table = measureTable(seed);
  progress('HTTP …');
  const http = await measureHttp(seed);
  return {
    setup: { blocks: BLOCKS, places: PLACES, httpSeconds: HTTP_SECONDS, callerThreads: 2 },
    rows: [
      {
        way: 'table',
        perSecond: rounded(table.perSecond),
        bytesPerBlock: rounded(table.bytesPerBlock),
        buildMs: rounded(table.buildMs),
      },
      {
        way: 'HTTP',
        perSecond: rounded(http.perSecond),
        p99Ms: http.p99,
        coresOfWholeProcessWithCallers: rounded(http.core),
      },
    ],
    targets: [
      atLeast('look-ups over HTTP on one core', 20_000, http.perSecond, '/s'),
      atLeast('look-ups by the table', 5_000_000, table.perSecond, '/s'),
    ],
  };
};
