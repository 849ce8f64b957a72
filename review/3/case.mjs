/** Requests sent behind another one on a connection, at a planned stop (rule LOST). */
import { once } from 'node:events';
import { connect } from 'node:net';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { Backend } from '../lib/backend.mjs';
import { configuration, route, service } from '../lib/configuration.mjs';
import { Deployment, runCase } from '../lib/deployment.mjs';
import { Record } from '../lib/record.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** Of `bulk-frames` at nilwadi-archive-grown, whose clients send requests behind another one. */
const SERVICE = 'release-svc';
const ROUTE_TIMEOUT_MILLISECONDS = 6_000;
const TIME_BUDGET_MILLISECONDS = 12_000;
const WORK_MILLISECONDS = 2_520;
const REQUESTS = 3;
const TERM_AFTER_MILLISECONDS = 500;
const GRACE_PERIOD_MILLISECONDS = 6_000;

const root = fileURLToPath(new URL('../..', import.meta.url));
const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const deployment = new Deployment(root, record);
const ran = new Set();

const requestText = (attempt) =>
  `GET /frames/1 HTTP/1.1\r\nHost: frames.example\r\nX-Attempt-Identifier: ${attempt}\r\n` +
  `X-Deadline-Milliseconds: ${TIME_BUDGET_MILLISECONDS}\r\n\r\n`;

/** Attempts whose whole answers stand in the bytes that a connection brought, in their order. */
function answeredAttempts(text) {
  const answered = [];
  let rest = text;
  for (;;) {
    const headEnd = rest.indexOf('\r\n\r\n');
    if (headEnd < 0) {
      return answered;
    }
    const head = rest.slice(0, headEnd);
    const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
    const end = headEnd + 4 + length;
    if (rest.length < end) {
      return answered;
    }
    const attempt = /^x-attempt-identifier: (\S+)$/im.exec(head)?.[1];
    const closes = /^connection: close$/im.test(head);
    record.write(`client got ${head.split('\r\n')[0]} for ${attempt}${closes ? ', closing' : ''}`);
    answered.push(attempt);
    rest = rest.slice(end);
  }
}

async function play() {
  const zones = ['aarhus-hal', 'herning-hal'];
  for (const [index, zone] of [...zones, ...zones].entries()) {
    const backend = new Backend({
      id: `i-${index + 1}`,
      host: deployment.backendHost(),
      zone,
      service: SERVICE,
      record,
      workMilliseconds: ({ headers }) => {
        ran.add(headers['x-attempt-identifier']);
        return WORK_MILLISECONDS;
      },
    });
    await backend.listen();
    deployment.addBackend(backend);
  }
  const frames = route({
    name: 'bulk-frames',
    host: 'frames.example',
    path_prefix: '/frames/',
    kind: 'idempotent',
    timeout: `${ROUTE_TIMEOUT_MILLISECONDS}ms`,
    service: SERVICE,
  });
  deployment.configure(configuration('00000001', [frames], [service(SERVICE)]));
  await deployment.startEntries(zones);
  await sleep(4_000);
  const [entry] = deployment.entries;
  const socket = connect(entry.traffic);
  await once(socket, 'connect');
  let text = '';
  socket.setEncoding('utf8');
  socket.on('data', (part) => {
    text += part;
  });
  socket.on('error', (error) => {
    record.write(`client's connection failed: ${error.message}`);
  });
  const closed = once(socket, 'close').then(() => {
    record.write("client's connection is closed");
    return true;
  });
  const attempts = Array.from({ length: REQUESTS }, (_, index) => `frame-${index + 1}`);
  for (const attempt of attempts) {
    record.write(`client sends ${attempt} to ${entry.name}, on one connection`);
    socket.write(requestText(attempt));
    await sleep(50);
  }
  await sleep(TERM_AFTER_MILLISECONDS);
  if (hasTrouble) {
    record.write(`SIGTERM to ${entry.name}`);
    entry.signal('SIGTERM');
  }
  const isClosed = await Promise.race([closed, sleep(GRACE_PERIOD_MILLISECONDS)]);
  const answered = answeredAttempts(text);
  socket.destroy();
  if (hasTrouble) {
    await entry.ended;
  }
  const lost = attempts.filter(
    (attempt) => isClosed === true && ran.has(attempt) && !answered.includes(attempt),
  );
  for (const attempt of lost) {
    record.write(`LOST ${attempt}: passed on to a backend, its connection ended without an answer`);
  }
  record.write(`${attempts.length} requests, ${answered.length} answered, ${lost.length} lost`);
  return lost.length > 0;
}

await runCase(record, deployment, play);
