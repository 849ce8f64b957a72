/** A backend's surplus answer, late, in the place where the next one is expected (rule TWICE). */
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { Backend } from '../backend.mjs';
import { configuration, route, service } from '../configuration.mjs';
import { call, Deployment, runCase } from '../deployment.mjs';
import { Record } from '../record.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** Largest share of its answers after which a faulty backend sends another one, by the site file. */
const SURPLUS_SHARE = 0.03;
const SERVICE = 'sorter-gate';
const SLOTS = 3;
const QUEUE = 1;
const WORK_MILLISECONDS = 50;
const ROUNDS = 75;
const ROUND_MILLISECONDS = 120;
const BURST = 20;
/** Longest time for which a backend does so, by the site file; the first rounds are without. */
const TROUBLE_MILLISECONDS = 5_000;
const TROUBLE_FROM_ROUND = 20;

const root = fileURLToPath(new URL('../..', import.meta.url));
const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const deployment = new Deployment(root, record);
const runs = new Map();
let troubleSince = Infinity;

function isTroubled() {
  const since = Date.now() - troubleSince;
  return hasTrouble && since >= 0 && since < TROUBLE_MILLISECONDS;
}

/** Backend that now and then sends a refusal again, late: where the next answer is expected. */
class FaultyBackend extends Backend {
  #answers = 0;
  #surplus = 0;
  #late = new WeakMap();

  constructor(options) {
    super({
      ...options,
      onRequest: (request) => {
        this.#answers += isTroubled() ? 1 : 0;
        this.#sendLate(request);
      },
      onShed: (request) => {
        this.#keepSurplus(request);
      },
    });
  }

  /** Decides whether a refusal is sent twice: within the share, and once a connection. */
  #keepSurplus({ headers, socket }) {
    if (!isTroubled() || this.#surplus + 1 > SURPLUS_SHARE * this.#answers) {
      return;
    }
    this.#surplus++;
    this.#late.set(socket, headers['x-attempt-identifier']);
  }

  #sendLate({ headers, socket }) {
    const attempt = this.#late.get(socket);
    if (attempt === undefined || !isTroubled()) {
      return;
    }
    this.#late.delete(socket);
    const next = headers['x-attempt-identifier'];
    record.write(`backend ${this.id} sends its refusal of ${attempt} again, late, before ${next}`);
    socket.write(
      `HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Identifier: ${attempt}\r\n` +
        'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
    );
  }

  get summary() {
    return `backend ${this.id}: ${this.#answers} answers in the troubled time, ${this.#surplus} kept to be sent again`;
  }
}

function countRun(request) {
  const attempt = request.headers['x-attempt-identifier'];
  runs.set(attempt, (runs.get(attempt) ?? 0) + 1);
  return WORK_MILLISECONDS;
}

async function send(entry, attempt) {
  record.write(`client sends ${attempt} to ${entry.name}`);
  const answer = await call({
    ...entry.traffic,
    path: '/orders/1',
    method: 'POST',
    headers: {
      Host: 'gates.example',
      'X-Attempt-Identifier': attempt,
      'X-Deadline-Milliseconds': '3000',
      'Content-Length': '0',
    },
    timeout: 4_000,
  });
  record.write(`client got ${answer?.status ?? 'no answer'} for ${attempt} from ${entry.name}`);
  return { attempt, status: answer?.status };
}

async function play() {
  const backends = [];
  for (const zone of ['aarhus-hal', 'aarhus-hal', 'aarhus-hal', 'herning-hal', 'herning-hal']) {
    const host = deployment.backendHost();
    const id = `i-${backends.length + 1}`;
    const options = { id, host, zone, service: SERVICE, slots: SLOTS, queue: QUEUE, record };
    // Three fifths of the backends at most are faulty, by the site file: here three of five.
    const Kind = backends.length < 3 ? FaultyBackend : Backend;
    const backend = new Kind({ ...options, workMilliseconds: countRun });
    await backend.listen();
    deployment.addBackend(backend);
    backends.push(backend);
  }
  const orders = route({
    name: 'reject-order',
    host: 'gates.example',
    path_prefix: '/orders/',
    kind: 'non_idempotent',
    timeout: '1000ms',
    service: SERVICE,
  });
  deployment.configure(configuration('00000001', [orders], [service(SERVICE)]));
  await deployment.startEntries(['aarhus-hal', 'herning-hal']);
  await sleep(2_000);
  const sent = [];
  for (let round = 0; round < ROUNDS; round++) {
    if (round === TROUBLE_FROM_ROUND) {
      troubleSince = Date.now();
    }
    for (let index = 0; index < BURST; index++) {
      const entry = deployment.entries[index % deployment.entries.length];
      sent.push(send(entry, `r${round}-${index}`));
    }
    await sleep(ROUND_MILLISECONDS);
  }
  const answers = await Promise.all(sent);
  await sleep(1_000);
  return judge(answers, backends);
}

/** TWICE: a request that is not idempotent runs more than one time. REFUSED is only reported. */
function judge(answers, backends) {
  for (const { summary } of backends.filter((backend) => backend instanceof FaultyBackend)) {
    record.write(summary);
  }
  const twice = [...runs].filter(([, count]) => count > 1);
  const refused = answers.filter(
    ({ attempt, status }) => [408, 421, 429, 503].includes(status) && runs.has(attempt),
  );
  for (const [attempt, count] of twice) {
    record.write(`TWICE ${attempt} ran ${count} times`);
  }
  for (const { attempt, status } of refused) {
    record.write(`REFUSED ${attempt} got ${status}, and has run`);
  }
  record.write(`${answers.length} requests, ${twice.length} ran twice, ${refused.length} refused`);
  return twice.length > 0;
}

await runCase(record, deployment, play);
