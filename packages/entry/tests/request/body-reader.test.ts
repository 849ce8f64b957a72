import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { FakeClock } from '@ferrylock/test-utils';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { BodyReader } from '../../src/request/body-reader.js';

const HELD_BYTES = 1_000;

let server: Server;
let caller: Socket;
const clock = new FakeClock();

beforeEach(async () => {
  server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
});

afterEach(async () => {
  caller.destroy();
  server.closeAllConnections();
  server.close();
  await once(server, 'close');
});

/** The request whose head and first bytes a caller has sent. */
async function receive(headers: string, firstBytes: string): Promise<IncomingMessage> {
  const received = once(server, 'request');
  caller.write(`POST / HTTP/1.1\r\nhost: a.example\r\n${headers}\r\n\r\n${firstBytes}`);
  const [request] = (await received) as [IncomingMessage];
  return request;
}

test('reads a body with a length', async () => {
  const bodies = new BodyReader(clock, HELD_BYTES);
  const request = await receive('content-length: 4', 'abcd');
  const body = await bodies.read(request, { maxBytes: 4, deadlineAt: Infinity });
  expect(body.unwrap()?.toString()).toBe('abcd');
});

test('there is no body without a length and chunks', async () => {
  const bodies = new BodyReader(clock, HELD_BYTES);
  const request = await receive('accept: a/b', '');
  const body = await bodies.read(request, { maxBytes: 4, deadlineAt: Infinity });
  expect(body.unwrap()).toBeUndefined();
});

test('does not wait past its end for a body that comes slowly', async () => {
  const bodies = new BodyReader(clock, HELD_BYTES);
  const request = await receive('content-length: 4', 'ab');
  const reading = bodies.read(request, { maxBytes: 4, deadlineAt: clock.now() + 800 });
  await clock.advance(800);
  const body = await reading;
  expect(body.isErr() && body.error).toBe('too-late');
});

test('a body that was given up holds no bytes', async () => {
  const bodies = new BodyReader(clock, 4);
  const slow = await receive('content-length: 4', 'ab');
  const reading = bodies.read(slow, { maxBytes: 4, deadlineAt: clock.now() + 800 });
  await clock.advance(800);
  await reading;
  caller.destroy();
  caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const next = await receive('content-length: 4', 'abcd');
  const body = await bodies.read(next, { maxBytes: 4, deadlineAt: Infinity });
  expect(body.unwrap()?.toString()).toBe('abcd');
});

test.each([
  { name: 'a declared length', headers: 'content-length: 5', bytes: '' },
  { name: 'chunks', headers: 'transfer-encoding: chunked', bytes: '5\r\nabcde\r\n0\r\n\r\n' },
])('refuses more bytes than are allowed by $name', async ({ headers, bytes }) => {
  const bodies = new BodyReader(clock, HELD_BYTES);
  const request = await receive(headers, bytes);
  const body = await bodies.read(request, { maxBytes: 4, deadlineAt: Infinity });
  expect(body.isErr() && body.error).toBe('too-large');
});

test('refuses a body where all bodies together would hold too much', async () => {
  const bodies = new BodyReader(clock, 3);
  const request = await receive('content-length: 4', 'abcd');
  const body = await bodies.read(request, { maxBytes: 4, deadlineAt: Infinity });
  expect(body.isErr() && body.error).toBe('too-many-bytes-held');
});

test('tells that the caller left in the middle of its body', async () => {
  const bodies = new BodyReader(clock, HELD_BYTES);
  const request = await receive('content-length: 4', 'ab');
  const reading = bodies.read(request, { maxBytes: 4, deadlineAt: Infinity });
  caller.destroy();
  const body = await reading;
  expect(body.isErr() && body.error).toBe('caller-gone');
});
