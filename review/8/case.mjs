/** Backends break answers without a length off by a reset. */
import { Buffer } from 'node:buffer';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { Backend, configuration } from '../stand-in-2/backend.mjs';
import { ask } from '../stand-in-2/client.mjs';
import { hasTrouble, runCase } from '../stand-in-2/run-case.mjs';

const ZONES = ['aarhus-hal', 'roskilde-hal', 'odense-hal'];
const BODY = Buffer.alloc(20_000, 'verdict-');
const SENT_BYTES = 5_000;
/** Of the backends that are faulty, and the time: share and for_s of `garble`. */
const FAULTY_SHARE = 0.5;
const FAULTY_MILLISECONDS = 5_000;
/** One answer of so many of a faulty backend: 0.05. */
const BROKEN_EVERY = 20;
const CLIENTS = 60;
const WORK_MILLISECONDS = 20;

await runCase(import.meta.url, async ({ store, backends, start, record }) => {
  let isFaulty = false;
  const broken = new Set();
  const answer = (request, socket, backend) => {
    setTimeout(() => {
      if (!isFaulty || !backend.isFaulty) {
        backend.reply(socket, request, 200, BODY);
        return;
      }
      backend.answers = (backend.answers ?? 0) + 1;
      const isBroken = hasTrouble && backend.answers % BROKEN_EVERY === 0;
      const fields = backend.head(request, 200, { Connection: 'close' });
      if (isBroken) {
        broken.add(request.headers['x-attempt-identifier']);
        socket.write(Buffer.concat([Buffer.from(fields), BODY.subarray(0, SENT_BYTES)]));
        socket.resetAndDestroy();
      } else {
        backend.reply(socket, request, 200, BODY);
      }
    }, WORK_MILLISECONDS);
  };
  for (let index = 0; index < 20; index++) {
    const zone = ZONES[index % ZONES.length];
    const backend = new Backend(store, { service: 'verdict-api', zone, answer });
    backend.isFaulty = index < 20 * FAULTY_SHARE;
    await backend.start('127.0.0.1');
    backends.push(backend);
  }
  store.put('op/config', configuration(7, [{ path_prefix: '/verdicts/', service: 'verdict-api' }]));
  const fleet = await start(ZONES);
  await sleep(6_000);
  let isOver = false;
  const counts = { whole: 0, wrong: 0, other: 0 };
  const client = async (index) => {
    const { frontend } = fleet.hosts[index % ZONES.length];
    for (let key = index; !isOver; key += CLIENTS) {
      const headers = { 'X-Affinity-Key': String(key % 200) };
      const answered = await ask(frontend, { path: `/verdicts/${key % 200}`, headers });
      const { id, status, isComplete, body, framing, end } = answered;
      if (status !== 200 || !isComplete) {
        counts.other++;
      } else if (body.equals(BODY)) {
        counts.whole++;
      } else {
        counts.wrong++;
        record(
          `request ${id}: status 200, framed by ${framing}, ended by ${end}, complete to its ` +
            `client with ${body.length} of ${BODY.length} bytes; its backend reset it: ` +
            `${broken.has(id)}  <- wrong`,
        );
      }
    }
  };
  const clients = Array.from({ length: CLIENTS }, (_, index) => client(index));
  await sleep(1_000);
  isFaulty = true;
  await sleep(FAULTY_MILLISECONDS);
  isFaulty = false;
  await sleep(500);
  isOver = true;
  await Promise.all(clients);
  record(`answers that backends broke off: ${broken.size}`);
  record(`whole: ${counts.whole}, incomplete but complete to the client: ${counts.wrong}`);
  record(`other answers: ${counts.other}`);
  return counts.wrong > 0;
});
