/** The store cuts the waiting watches; right after, a backend leaves that never says `draining`. */
import { clearInterval, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { Backend, configuration } from '../stand-in-2/backend.mjs';
import { ask } from '../stand-in-2/client.mjs';
import { hasTrouble, runCase } from '../stand-in-2/run-case.mjs';

const ZONES = ['aarhus-hal', 'roskilde-hal', 'odense-hal'];
/** `drain` of the settings. */
const DRAIN_MILLISECONDS = 2_000;
/** From the cut to the end of the entry: within the pause of about 250 ms before the next watch. */
const CUT_LEAD_MILLISECONDS = 50;
/** The backend serves on for `drain` and a little longer, and ends. */
const SERVES_ON_MILLISECONDS = DRAIN_MILLISECONDS + 250;
const WORK_MILLISECONDS = 200;
const ROUNDS = 3;

await runCase(import.meta.url, async ({ store, backends, start, record }) => {
  const watches = new Set();
  store.intercept = ({ pathname }, response) => {
    if (pathname === '/v1/kv-watch') {
      watches.add(response);
      response.on('close', () => watches.delete(response));
    }
    return false;
  };
  const answer = (request, socket, backend) => {
    setTimeout(() => backend.reply(socket, request, 200, 'sorted'), WORK_MILLISECONDS);
  };
  for (let index = 0; index < 9; index++) {
    const zone = ZONES[index % ZONES.length];
    const backend = new Backend(store, { service: 'sorter-gate', zone, answer });
    await backend.start('127.0.0.1');
    backends.push(backend);
  }
  const orders = { path_prefix: '/orders/', service: 'sorter-gate', kind: 'non_idempotent' };
  store.put('op/config', configuration(7, [{ ...orders, timeout: '1000ms' }]));
  const fleet = await start(ZONES);
  await sleep(5_000);
  let isOver = false;
  const statuses = new Map();
  const failed = [];
  const order = async (host, key) => {
    while (!isOver) {
      const options = { method: 'POST', path: '/orders/1', body: 'reject', budget: 3_000 };
      const headers = { 'X-Affinity-Key': String(key++ % 50) };
      const { id, status, cause } = await ask(host.frontend, { ...options, headers });
      statuses.set(status ?? cause, (statuses.get(status ?? cause) ?? 0) + 1);
      if (status !== 200) {
        failed.push({ id, status, cause });
      }
    }
  };
  const clients = fleet.hosts.flatMap((host) => [0, 9, 18, 27, 36].map((key) => order(host, key)));
  await sleep(4_000);
  let late = 0;
  for (const backend of backends.slice(0, ROUNDS)) {
    if (hasTrouble) {
      record(`the store cuts ${watches.size} waiting watches`);
      for (const response of watches) {
        response.destroy();
      }
    }
    await sleep(CUT_LEAD_MILLISECONDS);
    clearInterval(backend.beat);
    store.remove(`servers/${backend.id}`);
    const goneAt = Date.now();
    record(`the entry of backend ${backend.id} is gone; it serves on`);
    await sleep(SERVES_ON_MILLISECONDS);
    backend.stop();
    record(`backend ${backend.id} has ended`);
    const lateRuns = backend.runs.filter(({ at }) => at - goneAt > DRAIN_MILLISECONDS);
    late += lateRuns.length;
    for (const { id, at } of lateRuns) {
      record(`request ${id} reached it ${at - goneAt} ms after its entry was gone  <- late`);
    }
    const last = backend.runs.at(-1);
    record(
      `the last request reached it ${last === undefined ? 'never' : last.at - goneAt} ms after`,
    );
    await sleep(4_000);
  }
  isOver = true;
  await Promise.all(clients);
  record(
    `answers by status: ${[...statuses].map(([name, count]) => `${name}: ${count}`).join(', ')}`,
  );
  for (const { id, status, cause } of failed) {
    const runs = backends.flatMap((backend) => backend.runs).filter((run) => run.id === id).length;
    record(`request ${id} failed: ${status ?? cause}; runs begun: ${runs}`);
  }
  return late > 0;
});
