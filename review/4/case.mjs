/** One record of another writer under `servers/`, whose address has no port. */
import { Buffer } from 'node:buffer';
import { connect } from 'node:net';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { Backend, configuration } from '../stand-in-2/backend.mjs';
import { newId, parse } from '../stand-in-2/client.mjs';
import { hasTrouble, runCase } from '../stand-in-2/run-case.mjs';

const ZONES = ['aarhus-hal', 'roskilde-hal', 'odense-hal'];
const WORK_MILLISECONDS = 600;
const CLIENTS_PER_HOST = 12;
const PLAY_MILLISECONDS = 15_000;
const RESTART_MILLISECONDS = 500;
/** LOST allows three occasions. */
const ALLOWED = 3;

/** Of another writer: its address is not one that a connection can be made to. */
const RECORD = {
  address: '127.0.0.1',
  information: { service: 'sorter-gate', version: 'v1', zone: 'svendborg-hal', slots: 6 },
  status: { state: 'ready', sequence: 1, cold_remaining: '0ms' },
};

/** Sends orders one after the other on a kept connection, until it ends or the play is over. */
function sendOrders(address, isOver, onOrder) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    let bytes = Buffer.alloc(0);
    let order = undefined;
    const send = () => {
      if (isOver()) {
        socket.destroy();
        return;
      }
      order = { id: newId(), status: undefined };
      onOrder(order);
      socket.write(
        `POST /orders/1 HTTP/1.1\r\nHost: jepu9.example\r\nX-Attempt-Identifier: ${order.id}\r\n` +
          `X-Affinity-Key: ${Math.floor(Math.random() * 100)}\r\n` +
          'X-Deadline-Milliseconds: 3000\r\nContent-Length: 6\r\n\r\nreject',
      );
    };
    socket.on('connect', send);
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      const { status, isComplete } = parse(bytes, 'open');
      if (isComplete) {
        bytes = Buffer.alloc(0);
        order.status = status;
        send();
      }
    });
    socket.on('end', () => socket.destroy());
    socket.on('error', () => undefined);
    socket.on('close', resolve);
  });
}

await runCase(import.meta.url, async ({ store, backends, start, record }) => {
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
  store.put('op/config', configuration(7, [orders]));
  const fleet = await start(ZONES);
  await sleep(5_000);
  let isOver = false;
  let ends = 0;
  const watchOver = async (host) => {
    const { code, signal } = await host.ended;
    if (isOver) {
      return;
    }
    ends++;
    const [cause = ''] = /RangeError.*/.exec(host.log) ?? [];
    record(`the process of ${host.name} has ended by itself: ${signal ?? `code ${code}`} ${cause}`);
    await sleep(RESTART_MILLISECONDS);
    if (!isOver) {
      fleet.startHost(host);
      await watchOver(host);
    }
  };
  for (const host of fleet.hosts) {
    void watchOver(host);
  }
  const sent = [];
  const client = async (host) => {
    while (!isOver) {
      await sendOrders(
        host.frontend,
        () => isOver,
        (order) => sent.push(order),
      );
      await sleep(100);
    }
  };
  const clients = fleet.hosts.flatMap((host) =>
    Array.from({ length: CLIENTS_PER_HOST }, () => client(host)),
  );
  await sleep(3_000);
  if (hasTrouble) {
    store.put('servers/i-0badc0de', RECORD);
    record(`another writer puts servers/i-0badc0de: ${JSON.stringify(RECORD)}`);
  }
  await sleep(PLAY_MILLISECONDS);
  isOver = true;
  await Promise.all(clients);
  const ran = new Set(backends.flatMap(({ runs }) => runs.map(({ id }) => id)));
  const lost = sent.filter(({ id, status }) => status === undefined && ran.has(id));
  const answered = sent.filter(({ status }) => status === 200).length;
  for (const { id } of lost) {
    record(`order ${id} was run by a sound backend and got no answer  <- lost`);
  }
  record(
    `processes that ended by themselves: ${ends}; orders answered ${answered}, lost ${lost.length}`,
  );
  return lost.length > ALLOWED;
});
