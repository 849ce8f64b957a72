import { SystemClock } from '@ferrylock/utils';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import type { SendOutcome, TargetRequest } from '../../src/request/target-client.js';
import { SendNotAllowed, TargetClient } from '../../src/request/target-client.js';

const HEAD = 'HTTP/1.1 200 OK\r\n';

/** A target that answers each request with what the function does to its connection. */
async function startTarget(answer: (socket: Socket, request: string) => void): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      answer(socket, bytes.toString());
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return server;
}

describe('TargetClient', () => {
  const client = new TargetClient({ clock: new SystemClock(), onConnected: () => undefined });
  let server: Server;

  afterEach(() => server.close());

  async function send(
    answer: (socket: Socket, request: string) => void,
    changes: Partial<TargetRequest> = {},
  ): Promise<SendOutcome> {
    server = await startTarget(answer);
    const { port } = server.address() as AddressInfo;
    return client.send({
      address: `127.0.0.1:${port}`,
      method: 'GET',
      path: '/',
      headers: {},
      body: undefined,
      usesOwnConnection: false,
      isStillAllowed: () => true,
      checkHead: () => undefined,
      ...changes,
    }).outcome;
  }

  it('takes an answer without length as whole where its connection ends in order', async () => {
    const outcome = await send((socket) => socket.end(`${HEAD}\r\nwhole`));
    expect(outcome).toMatchObject({ kind: 'answered', answer: { body: Buffer.from('whole') } });
  });

  it('sends nothing that its target wants no more once the connection is up', async () => {
    let requests = 0;
    const outcome = await send(
      (socket) => {
        requests++;
        socket.end(`${HEAD}content-length: 0\r\n\r\n`);
      },
      { isStillAllowed: () => false },
    );
    expect(outcome.kind).toBe('not-sent');
    expect(outcome.kind === 'not-sent' && outcome.error).toBeInstanceOf(SendNotAllowed);
    expect(requests).toBe(0);
  });

  it('takes an answer without length as broken where its connection is reset', async () => {
    const outcome = await send((socket) => {
      socket.write(`${HEAD}\r\nhalf`, () => setTimeout(() => socket.resetAndDestroy(), 30));
    });
    expect(outcome.kind).toBe('broken');
  });

  it('takes an answer that is shorter than its length as broken', async () => {
    const outcome = await send((socket) => socket.end(`${HEAD}content-length: 9\r\n\r\nhalf`));
    expect(outcome.kind).toBe('broken');
  });

  it('takes an answer that the examiner refuses as broken and ends the connection', async () => {
    const closed = new Promise<string>((resolve) => {
      void send(
        (socket) => {
          socket.on('close', () => {
            resolve('closed');
          });
          socket.write(`${HEAD}content-length: 0\r\n\r\n`);
        },
        { checkHead: () => new Error('stray') },
      ).then(({ kind }) => {
        expect(kind).toBe('broken');
      });
    });
    expect(await closed).toBe('closed');
  });

  it('says that nothing was sent where no connection comes about', async () => {
    const outcome = await client.send({
      address: '127.0.0.1:1',
      method: 'GET',
      path: '/',
      headers: {},
      body: undefined,
      usesOwnConnection: false,
      isStillAllowed: () => true,
      checkHead: () => undefined,
    }).outcome;
    expect(outcome.kind).toBe('not-sent');
    server = await startTarget(() => undefined);
  });

  it('gives each request a connection of its own where asked to', async () => {
    let connections = 0;
    server = await startTarget((socket) => socket.write(`${HEAD}content-length: 0\r\n\r\n`));
    server.on('connection', () => connections++);
    const { port } = server.address() as AddressInfo;
    const request: TargetRequest = {
      address: `127.0.0.1:${port}`,
      method: 'GET',
      path: '/',
      headers: {},
      body: undefined,
      usesOwnConnection: true,
      isStillAllowed: () => true,
      checkHead: () => undefined,
    };
    await client.send(request).outcome;
    await client.send(request).outcome;
    expect(connections).toBe(2);
  });
});
