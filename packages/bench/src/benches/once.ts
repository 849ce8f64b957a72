import type { DeclarationInput, RepeatClass } from '@ferrylock/schema';
import { TargetStandIn } from '@ferrylock/test-utils';
import { Pool } from 'undici';
import { percentile } from '../percentile.js';
import type { Bench, Row } from '../report.js';
import { atMost, rounded } from '../report.js';
import { startSingleDaemon } from '../single-daemon.js';

const REQUESTS = 2_000;
const ROUNDS = 4;
const KEYS_AT_ONCE = 1_000;
const REPEATED_KEYS = 200;
const REPEATS = 5;
const SLOTS = 32;

async function send(pool: Pool, service: string, key?: string): Promise<number> {
  const response = await pool.request({
    method: 'POST',
    path: `/s/atec/${service}/work`,
    headers: key === undefined ? {} : { 'idempotency-key': key },
    body: 'order',
  });
  await response.body.dump();
  return response.statusCode;
}

async function takeKeys(pool: Pool, count: number): Promise<string[]> {
  const path = `/v1/keys?account=atec&service=once&count=${count}`;
  const response = await pool.request({ method: 'POST', path });
  return ((await response.body.json()) as { keys: string[] }).keys;
}

async function timeRequests(pool: Pool, service: string, keys?: string[]): Promise<number[]> {
  const samples: number[] = [];
  for (let index = 0; index < REQUESTS; index++) {
    const startedAt = performance.now();
    await send(pool, service, keys?.[index]);
    samples.push(performance.now() - startedAt);
  }
  return samples;
}

async function manyKeys(pool: Pool, count: number): Promise<string[]> {
  const keys: string[] = [];
  while (keys.length < count) {
    keys.push(...(await takeKeys(pool, Math.min(KEYS_AT_ONCE, count - keys.length))));
  }
  return keys;
}

/** What a key costs, and whether any runs twice when it is sent many times at once. */
export const once: Bench = async ({ progress }) => {
  const target = new TargetStandIn({ slots: SLOTS });
  const port = await target.start();
  const service = (repeat: RepeatClass): object => ({
    repeat,
    targets: { t: { address: '127.0.0.1', port, slots: SLOTS, failureDomain: 'fyn-1' } },
  });
  const daemon = await startSingleDaemon({
    account: 'atec',
    failureDomains: { 'fyn-1': { region: 'fyn' } },
    services: { free: service('free'), once: service('never') } as DeclarationInput['services'],
  });
  const pool = new Pool(`http://${daemon.addresses.traffic}`, { connections: SLOTS });
  const unkeyed: number[] = [];
  const keyed: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    progress(`round ${round + 1} of ${ROUNDS} …`);
    const first = await timeRequests(pool, 'free');
    const second = await timeRequests(pool, 'once', await manyKeys(pool, REQUESTS));
    // The first round warms the code up and is not counted.
    if (round > 0) {
      unkeyed.push(...first);
      keyed.push(...second);
    }
  }
  const repeated = await takeKeys(pool, REPEATED_KEYS);
  const sent = Array.from({ length: REPEATS }, () => repeated).flat();
  const statuses = await Promise.all(sent.map((key) => send(pool, 'once', key)));
  const mostRuns = target.mostRunsOfOneKey;
  await pool.destroy();
  await daemon.kill();
  await target.stop();
  const row = (way: string, samples: readonly number[]): Row => ({
    way,
    p50Ms: rounded(percentile(samples, 0.5)),
    p99Ms: rounded(percentile(samples, 0.99)),
  });
  const added = percentile(keyed, 0.5) / percentile(unkeyed, 0.5) - 1;
  return {
    setup: {
      requests: REQUESTS * (ROUNDS - 1),
      repeatedKeys: REPEATED_KEYS,
      sentEach: REPEATS,
      answered: statuses.filter((status) => status === 200).length,
      addedByAKeyPercent: rounded(added * 100),
    },
    rows: [row('without a key', unkeyed), row('with a key', keyed)],
    targets: [atMost('runs of one key', 1, mostRuns, 'runs')],
  };
};
