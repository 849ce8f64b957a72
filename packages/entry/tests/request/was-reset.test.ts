/**
 * Guards the way in which the runtime and the kernel tell a reset from an orderly end, on which the
 * completeness of answers without a length rests.
 */
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { describe, expect, it, onTestFinished } from 'vitest';
import { wasReset } from '../../src/request/was-reset.js';

const CONNECTIONS = 100;
const BYTES = Buffer.alloc(5_000, 'x');

/** Lets the event loop, and so the client, wait while the kernel receives. */
function block(milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

/** Reads from connections that a server ends; returns how many bytes came and what is told of the end. */
async function readEach(end: (socket: Socket) => void) {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      end(socket);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  onTestFinished(() => {
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const readOne = async () => {
    const socket = connect(port, '127.0.0.1');
    let bytes = 0;
    // The transport reads in this way.
    socket.on('readable', () => {
      for (let chunk = socket.read() as Buffer | null; chunk !== null;) {
        bytes += chunk.length;
        chunk = socket.read() as Buffer | null;
      }
    });
    socket.write('request');
    const told = await new Promise<boolean>((resolve) => {
      socket.on('end', () => {
        resolve(wasReset(socket));
      });
      socket.on('error', () => {
        resolve(wasReset(socket));
      });
    });
    socket.destroy();
    return { bytes, told };
  };
  return Promise.all(Array.from({ length: CONNECTIONS }, readOne));
}

describe('wasReset', () => {
  it.each([
    ['right after the data', () => undefined],
    ['before the data is read', () => block(1)],
  ])('tells of a reset %s', async (_, wait) => {
    const ends = await readEach((socket) => {
      socket.write(BYTES);
      socket.resetAndDestroy();
      wait();
    });
    expect(ends.filter(({ told }) => told)).toHaveLength(CONNECTIONS);
  });

  it('tells of a reset that comes later than the data', async () => {
    const ends = await readEach((socket) => {
      socket.write(BYTES, () => setTimeout(() => socket.resetAndDestroy(), 5));
    });
    expect(ends.filter(({ told }) => told)).toHaveLength(CONNECTIONS);
  });

  it.each([
    ['at once', () => undefined],
    ['before the data is read', () => block(1)],
  ])('tells of no reset where the other side ends orderly: %s', async (_, wait) => {
    const ends = await readEach((socket) => {
      socket.end(BYTES);
      wait();
    });
    expect(ends).toEqual(ends.map(() => ({ bytes: BYTES.length, told: false })));
  });

  it('tells of no reset while the connection is open', async () => {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    await once(socket, 'connect');
    expect(wasReset(socket)).toBe(false);
    socket.destroy();
    server.close();
  });
});
