/**
 * Answers to the first registrations of three entry hosts are lost, and the writes are done late. Half a
 * minute after that, a backend is replaced by a cold one.
 */
import { clearInterval, setTimeout } from 'node:timers';
import { get } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { Backend, configuration } from '../stand-in-2/backend.mjs';
import { ask } from '../stand-in-2/client.mjs';
import { hasTrouble, runCase } from '../stand-in-2/run-case.mjs';

const ZONES = ['aarhus-hal', 'roskilde-hal', 'odense-hal'];
const LATE_MILLISECONDS = 4_000;
const LOST_FOR_MILLISECONDS = 4_500;
/** After the leases of the late writes, of 12 s, and what hosts remember of it. */
const SETTLE_MILLISECONDS = 32_000;
const COLD_PER_SECOND = 20;
const COLD_OVERAGE = 1.5;
const COLD_SLACK = 5;
const COLD_MILLISECONDS = 5_000;
const BOUND = COLD_PER_SECOND * COLD_OVERAGE + COLD_SLACK;

/** A response of which nobody gets anything. */
const NOBODY = { writeHead: () => undefined, end: () => undefined, on: () => undefined };

/** Addresses that a host's directory names to the callers of its zone. */
function resolveAt(host) {
  const url = `http://${host.directory}/v1/resolve?name=jepu9.example&region=x&zone=${host.zone}`;
  return new Promise((resolve) => {
    get(url, (response) => {
      let text = '';
      response.on('data', (chunk) => (text += chunk));
      response.on('end', () => resolve(JSON.parse(text).addresses));
    });
  });
}

/** Most arrivals in any second. */
function mostInASecond(times) {
  return times.reduce(
    (most, from) => Math.max(most, times.filter((at) => at >= from && at < from + 1_000).length),
    0,
  );
}

await runCase(import.meta.url, async ({ store, backends, start, record }) => {
  const startedAt = Date.now();
  const writes = { all: 0, lost: 0 };
  const lost = new Set();
  store.intercept = ({ pathname }, _response, { body, apply }) => {
    const isWrite = pathname === '/v1/kv-txn' || pathname === '/v1/kv-lease';
    if (!isWrite || Date.now() - startedAt > LOST_FOR_MILLISECONDS) {
      return false;
    }
    writes.all++;
    const key = body.set_keys?.[0]?.private_key ?? '';
    if (!hasTrouble || !key.startsWith('ferrylock/hosts/') || lost.has(key)) {
      return false;
    }
    lost.add(key);
    writes.lost++;
    record(`the store gives no answer to the write of ${key}`);
    setTimeout(() => {
      record(`the write of ${key} is done`);
      apply(NOBODY);
    }, LATE_MILLISECONDS);
    return true;
  };
  const answer = (request, socket, backend) => {
    setTimeout(() => backend.reply(socket, request, 200, 'verdict'), 50);
  };
  const startBackend = async (coldMilliseconds) => {
    const options = { service: 'verdict-api', zone: 'odense-hal', answer, coldMilliseconds };
    const backend = new Backend(store, options);
    await backend.start('127.0.0.1');
    backends.push(backend);
    return backend;
  };
  const old = await startBackend(0);
  const route = { path_prefix: '/verdicts/', service: 'verdict-api', timeout: '800ms' };
  const changed = { cold_start: `${COLD_MILLISECONDS}ms`, cold_per_s: COLD_PER_SECOND };
  store.put('op/config', configuration(7, [route], {}, changed));
  const fleet = await start(ZONES);
  await sleep(SETTLE_MILLISECONDS);
  record(
    `writes until ${LOST_FOR_MILLISECONDS} ms: ${writes.all}, without an answer ${writes.lost}`,
  );
  for (const host of fleet.hosts) {
    const others = (await resolveAt(host)).filter((address) => address !== host.frontend);
    record(`the directory at ${host.name} names ${others.length} other hosts`);
  }
  let isOver = false;
  const statuses = new Map();
  const client = async (host, key) => {
    while (!isOver) {
      const headers = { 'X-Affinity-Key': String(key) };
      const { status } = await ask(host.frontend, { path: `/verdicts/${key}`, headers });
      statuses.set(status, (statuses.get(status) ?? 0) + 1);
      await sleep(status === 200 ? 0 : 15);
    }
  };
  const clients = fleet.hosts.flatMap((host) =>
    [0, 1, 2, 3, 4, 5, 6, 7].map((key) => client(host, key)),
  );
  await sleep(3_000);
  const cold = await startBackend(COLD_MILLISECONDS);
  const coldAt = Date.now();
  record(`backend ${cold.id} has started; it is cold for ${COLD_MILLISECONDS} ms`);
  await sleep(500);
  old.state = 'draining';
  old.write();
  record(`backend ${old.id} is draining`);
  await sleep(2_500);
  clearInterval(old.beat);
  store.remove(`servers/${old.id}`);
  old.stop();
  await sleep(COLD_MILLISECONDS - 3_000);
  isOver = true;
  await Promise.all(clients);
  const times = cold.runs.map(({ at }) => at).filter((at) => at < coldAt + COLD_MILLISECONDS);
  const most = mostInASecond(times);
  record(`answers by status: ${[...statuses].map(([name, n]) => `${name}: ${n}`).join(', ')}`);
  record(`the cold backend got ${times.length} requests, in one second up to ${most}`);
  record(`the bound is ${COLD_PER_SECOND} x ${COLD_OVERAGE} + ${COLD_SLACK} = ${BOUND}`);
  return most > BOUND;
});
