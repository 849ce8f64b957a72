import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { EventLog, FleetView, requestFingerprint, SuspectController } from '@ferrylock/entry';
import type { FingerprintedRequest } from '@ferrylock/entry';
import { makeRoute, MemoryFleetStore } from '@ferrylock/test-utils';
import { silentLogger, SystemClock, systemRandom } from '@ferrylock/utils';
import { measureHostProcess } from '../fleet/measure-host-process.js';
import { processorMilliseconds } from '../processor-milliseconds.js';
import type { Bench } from '../report.js';
import { atMost, rounded } from '../report.js';

const REQUESTS = 200_000;
const UPLOADS = 2_000;
const UPLOAD_BYTES = 60_000;
const MESSAGES = 2_000;
/** As many as a host watches at most. */
const WATCHED = 1_024;
/** A request looks twice whether it is watched: before it is sent, and when it is answered. */
const LOOKS = 2;
const MOST_AT_REST = 0.001;
const MOST_WHILE_WATCHING = 0.02;

function makeDuty(): SuspectController {
  const clock = new SystemClock();
  return new SuspectController({
    clock,
    random: systemRandom(),
    events: new EventLog(silentLogger),
    store: new MemoryFleetStore(clock),
    view: new FleetView(),
    writeOrderOf: () => 0,
    hosts: () => 1,
    onUpdate: () => undefined,
  });
}

function makeRequest(path: string, body?: Buffer): FingerprintedRequest {
  const request = Object.assign(new IncomingMessage(new Socket()), { method: 'GET' });
  return { request, path, route: makeRoute(), account: undefined, body };
}

/** Milliseconds that a request takes to look whether it is watched. */
function measureLooks(duty: SuspectController): number {
  const requests = Array.from({ length: 72 }, (_, index) => makeRequest(`/verdicts/${index}`));
  const milliseconds = processorMilliseconds(() => {
    for (let count = 0; count < LOOKS * REQUESTS; count++) {
      const request = requests[count % requests.length];
      if (request !== undefined) {
        duty.findFingerprint(request);
      }
    }
  });
  return milliseconds / REQUESTS;
}

/** What it costs a request that some requests end targets, beside a request of a process of its own. */
export const suspectCost: Bench = async ({ progress }) => {
  progress('at rest …');
  const duty = makeDuty();
  const atRest = measureLooks(duty);
  progress('while as many as possible are watched …');
  for (let index = 0; index < WATCHED; index++) {
    duty.table.recordCrash(requestFingerprint(makeRequest(`/other/${index}`)), `target-${index}`);
  }
  const watching = measureLooks(duty);
  const telling =
    processorMilliseconds(() => {
      for (let count = 0; count < MESSAGES; count++) {
        duty.table.report('all');
      }
    }) / MESSAGES;
  const upload = makeRequest('/upload', Buffer.alloc(UPLOAD_BYTES));
  const fingerprint =
    processorMilliseconds(() => {
      for (let count = 0; count < UPLOADS; count++) {
        requestFingerprint(upload);
      }
    }) / UPLOADS;
  progress('whole requests …');
  const { requestMilliseconds } = await measureHostProcess('pooled');
  return {
    setup: { watched: WATCHED, requests: REQUESTS, uploadBytes: UPLOAD_BYTES },
    rows: [
      { what: 'a request’s looks at rest, µs', value: rounded(1_000 * atRest) },
      { what: 'the same of a whole request', value: rounded(atRest / requestMilliseconds) },
      { what: 'a request’s looks while 1,024 are watched, µs', value: rounded(1_000 * watching) },
      { what: 'the same of a whole request', value: rounded(watching / requestMilliseconds) },
      { what: 'what to tell, a message, µs', value: rounded(1_000 * telling) },
      {
        what: 'fingerprint of an upload that lost its target, µs',
        value: rounded(1_000 * fingerprint),
      },
    ],
    targets: [
      atMost('looks at rest', MOST_AT_REST, atRest / requestMilliseconds, 'of a request'),
      atMost(
        'looks while watching',
        MOST_WHILE_WATCHING,
        watching / requestMilliseconds,
        'of a request',
      ),
    ],
  };
};
