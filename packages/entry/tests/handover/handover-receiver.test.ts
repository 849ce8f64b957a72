import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { expect, it, onTestFinished } from 'vitest';
import { HandoverAdmission } from '../../src/handover/handover-admission.js';
import {
  encodeHandover,
  HANDOVER_HEADER,
  HANDOVER_REQUEST_HEADER,
  HANDOVER_RESULT_HEADER,
  parseRefusal,
} from '../../src/handover/handover-headers.js';
import { HandoverReceiver } from '../../src/handover/handover-receiver.js';
import { makeHostRecord } from '../fixtures.js';

const HANDOVER = {
  from: 'host-2',
  fromIncarnation: 'second',
  toIncarnation: 'first',
  milliseconds: 900,
  attempts: 0,
  requestId: 'request-1',
  version: 7,
  service: 'verdict-api',
};

/** Starts a host that knows the host of the handover, if so told; returns its address. */
async function serve({ isKnown = true, reachesNone = false, utilization = 0, version = 7 } = {}) {
  const hosts = isKnown ? [makeHostRecord({ name: 'host-2', incarnation: 'second' })] : [];
  const taken: string[] = [];
  const receiver = new HandoverReceiver({
    admission: new HandoverAdmission({
      ownIncarnation: 'first',
      capacity: 1,
      hosts: () => hosts,
      utilization: () => utilization,
      reachesNone: () => reachesNone,
      version: () => version,
    }),
    forwarder: {
      handle: (_request, response, path) => {
        taken.push(path);
        response.end();
        return Promise.resolve();
      },
    },
    isLeaving: () => false,
  });
  const server = createServer((incoming, response) => {
    void receiver.handle(incoming, response, incoming.url ?? '');
  });
  onTestFinished(() => {
    server.closeAllConnections();
    server.close();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return { taken, address: `http://127.0.0.1:${(server.address() as AddressInfo).port}` };
}

async function handOver(address: string, header?: string) {
  const headers = header === undefined ? {} : { [HANDOVER_HEADER]: header };
  const { statusCode, headers: answered, body } = await request(address, { headers });
  await body.dump();
  return { status: statusCode, headers: answered };
}

// Guards against a rejection that the other host cannot tell from an answer after the request has run.
it.each([
  ['a host that it does not know', { isKnown: false }, 403, 'targets-unreachable'],
  ['any host while it is busy', { utilization: 1 }, 503, 'overload'],
  ['any host while it reaches no target', { reachesNone: true }, 503, 'targets-unreachable'],
  ['a host with a newer configuration', { version: 6 }, 503, 'configuration-unconfirmed'],
])('says that it has not taken a request of %s', async (_case, state, status, reason) => {
  const { address, taken } = await serve(state);
  const response = await handOver(address, encodeHandover(HANDOVER));
  expect(response.status).toBe(status);
  expect(response.headers[HANDOVER_REQUEST_HEADER]).toBe('request-1');
  expect(parseRefusal(response.headers[HANDOVER_RESULT_HEADER])).toMatchObject({
    reason,
    ran: 'no',
  });
  expect(taken).toEqual([]);
});

it.each([
  ['no handover', undefined],
  ['one that cannot be read', 'from=host-2'],
])('tells nothing to a caller with %s', async (_case, header) => {
  const { address, taken } = await serve();
  const { status, headers } = await handOver(address, header);
  expect(status).toBe(403);
  expect(headers[HANDOVER_REQUEST_HEADER]).toBeUndefined();
  expect(headers[HANDOVER_RESULT_HEADER]).toBeUndefined();
  expect(taken).toEqual([]);
});
