/** Requests that a host takes late in its grace period, and cuts off at the end of it (rule LOST). */
import { Agent } from 'node:http';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { Backend } from '../backend.mjs';
import { configuration, route, service } from '../configuration.mjs';
import { call, CannotRun, Deployment, runCase } from '../deployment.mjs';
import { Record } from '../record.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const SERVICE = 'sorter-gate';
/** Of `reject-order` at skovlund-qc-grown, whose work takes 1,720 ms on average, 5,160 at most. */
const ROUTE_TIMEOUT_MILLISECONDS = 3_000;
const TIME_BUDGET_MILLISECONDS = 8_000;
const WORK_MILLISECONDS = 2_600;
/** Times after the SIGTERM at which a request is sent: all later than 3 s. */
const SENT_AFTER_MILLISECONDS = [3_100, 3_200, 3_300, 3_400, 3_500];
const EXCUSED_MILLISECONDS = 3_000;
const GRACE_PERIOD_MILLISECONDS = 6_000;
/** Longest time for which a client holds an answer of the directory: three times its ttl. */
const HELD_TTLS = 3;

const root = fileURLToPath(new URL('../..', import.meta.url));
const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const deployment = new Deployment(root, record);
const runs = new Set();

async function send(entry, attempt, agent) {
  const sentAt = Date.now();
  record.write(`client sends ${attempt} to ${entry.name}`);
  const answer = await call({
    ...entry.traffic,
    agent,
    path: '/orders/1',
    method: 'POST',
    headers: {
      Host: 'gates.example',
      'X-Attempt-Identifier': attempt,
      'X-Deadline-Milliseconds': String(TIME_BUDGET_MILLISECONDS),
      'Content-Length': '0',
    },
    timeout: TIME_BUDGET_MILLISECONDS,
  });
  const heldMilliseconds = Date.now() - sentAt;
  const outcome = answer?.status ?? 'a closed connection';
  record.write(`client got ${outcome} for ${attempt} after ${heldMilliseconds} ms`);
  return { attempt, sentAt, heldMilliseconds, status: answer?.status };
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
        runs.add(headers['x-attempt-identifier']);
        return WORK_MILLISECONDS;
      },
    });
    await backend.listen();
    deployment.addBackend(backend);
  }
  const orders = route({
    name: 'reject-order',
    host: 'gates.example',
    path_prefix: '/orders/',
    kind: 'non_idempotent',
    timeout: `${ROUTE_TIMEOUT_MILLISECONDS}ms`,
    service: SERVICE,
  });
  deployment.configure(configuration('00000001', [orders], [service(SERVICE)]));
  await deployment.startEntries(zones);
  await sleep(4_000);
  const [entry] = deployment.entries;
  const { addresses, ttlMilliseconds } = await entry.resolve('jylland', 'aarhus-hal');
  const { host, port } = entry.traffic;
  if (!addresses.includes(`${host}:${port}`)) {
    throw new CannotRun('the directory does not name the host');
  }
  const heldUntil = Date.now() + HELD_TTLS * ttlMilliseconds;
  record.write(`client learns ${addresses.join(', ')} for ${ttlMilliseconds} ms`);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const terminatedAt = Date.now();
  if (hasTrouble) {
    record.write(`SIGTERM to ${entry.name}`);
    entry.signal('SIGTERM');
  }
  const sent = [];
  for (const [index, after] of SENT_AFTER_MILLISECONDS.entries()) {
    await sleep(terminatedAt + after - Date.now());
    if (Date.now() < heldUntil) {
      sent.push(send(entry, `late-${index + 1}`, index === 0 ? agent : false));
    }
  }
  const answers = await Promise.all(sent);
  agent.destroy();
  if (hasTrouble) {
    const { code, signal } = await entry.ended;
    const milliseconds = Date.now() - terminatedAt;
    record.write(`${entry.name} ended after ${milliseconds} ms: code ${code}, signal ${signal}`);
  }
  return judge(answers, terminatedAt);
}

/**
 * LOST: a whole request was read and passed on to a backend, and its connection ended without an
 * answer, at most 1 s after the grace period of the SIGTERM.
 */
function judge(answers, terminatedAt) {
  const lost = answers.filter(
    ({ attempt, sentAt, heldMilliseconds, status }) =>
      status === undefined &&
      runs.has(attempt) &&
      sentAt - terminatedAt > EXCUSED_MILLISECONDS &&
      sentAt - terminatedAt + heldMilliseconds < GRACE_PERIOD_MILLISECONDS + 1_000 &&
      heldMilliseconds < ROUTE_TIMEOUT_MILLISECONDS,
  );
  for (const { attempt, sentAt, heldMilliseconds } of lost) {
    const after = sentAt - terminatedAt;
    record.write(`LOST ${attempt}: sent ${after} ms after, cut after ${heldMilliseconds} ms more`);
  }
  record.write(`${answers.length} requests, ${lost.length} lost while a backend was at work`);
  return lost.length > 0;
}

await runCase(record, deployment, play);
