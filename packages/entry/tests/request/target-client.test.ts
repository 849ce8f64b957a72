import { SystemClock } from '@ferrylock/utils';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import type { SendOutcome, TargetRequest } from '../../src/request/target-client.js';
import { SendNotAllowed, TargetClient } from '../../src/request/target-client.js';

const HEAD = 'HTTP/1.1 200 OK\r\n';

const REQUEST: Omit<TargetRequest, 'address'> = {
  method: 'GET',
  path: '/',
  headers: {},
  body: undefined,
  usesOwnConnection: false,
  isStillAllowed: () => true,
  checkHead: () => undefined,
};

/** Starts a target that passes each request to a function, which responds on the connection. */
async function startTarget(respond: (socket: Socket, request: string) => void): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      respond(socket, bytes.toString());
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return server;
}

describe('TargetClient', () => {
  const connected: string[] = [];
  const client = new TargetClient({
    clock: new SystemClock(),
    onConnected: (address) => connected.push(address),
  });
  let server: Server;

  afterEach(() => server.close());

  async function send(
    respond: (socket: Socket, request: string) => void,
    changes: Partial<TargetRequest> = {},
  ): Promise<SendOutcome> {
    server = await startTarget(respond);
    const { port } = server.address() as AddressInfo;
    return client.send({ ...REQUEST, address: `127.0.0.1:${port}`, ...changes }).outcome;
  }

  it('accepts a response without length if its connection ends gracefully', async () => {
    const outcome = await send((socket) => socket.end(`${HEAD}\r\nwhole`));
    expect(outcome).toMatchObject({ kind: 'answered', response: { body: Buffer.from('whole') } });
  });

  it('sends nothing if the request is no longer allowed once connected', async () => {
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

  it('tells on which connection each request was sent, and how many before it', async () => {
    const ports: (number | undefined)[] = [];
    server = await startTarget((socket) => {
      ports.push(socket.remotePort);
      socket.write(`${HEAD}content-length: 0\r\n\r\n`);
    });
    const { port } = server.address() as AddressInfo;
    const uses = [];
    for (let count = 0; count < 2; count++) {
      const handle = client.send({ ...REQUEST, address: `127.0.0.1:${port}` });
      expect(handle.connectionUse).toBeUndefined();
      await handle.outcome;
      uses.push(handle.connectionUse);
      // The transport uses a connection again a turn after an answer.
      await setImmediate();
    }
    expect(ports[0]).toBe(ports[1]);
    expect(uses).toEqual([
      { localPort: ports[0], requestsBefore: 0 },
      { localPort: ports[0], requestsBefore: 1 },
    ]);
  });

  it('rejects a response without length if its connection is reset', async () => {
    const outcome = await send((socket) => {
      socket.write(`${HEAD}\r\nhalf`, () => setTimeout(() => socket.resetAndDestroy(), 30));
    });
    expect(outcome.kind).toBe('broken');
  });

  // Guards against part of an answer that reaches a caller as a whole one.
  it.each(
    [false, true].flatMap((usesOwnConnection) =>
      ['', 'connection: close\r\n', 'transfer-encoding: identity\r\n'].flatMap((field) =>
        [1, 19_999, 200_000].map((bytes) => ({ usesOwnConnection, field, bytes })),
      ),
    ),
  )('rejects a response without length that is reset right after data: %j', async (kind) => {
    const { usesOwnConnection, field, bytes } = kind;
    for (let count = 0; count < 5; count++) {
      const outcome = await send(
        (socket) => {
          socket.write(`${HEAD}${field}\r\n${'x'.repeat(bytes)}`);
          socket.resetAndDestroy();
        },
        { usesOwnConnection },
      );
      server.close();
      expect(outcome.kind).toBe('broken');
    }
  });

  it('rejects one that is reset on a connection that was used before', async () => {
    server = await startTarget((socket, request) => {
      if (request.includes('/first')) {
        socket.write('HTTP/1.1 204 No Content\r\n\r\n');
      } else {
        socket.write(`${HEAD}\r\nhalf`);
        socket.resetAndDestroy();
      }
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const first = await client.send({ ...REQUEST, address, path: '/first' }).outcome;
    await setImmediate();
    const handle = client.send({ ...REQUEST, address, path: '/second' });
    const second = await handle.outcome;
    expect([first.kind, second.kind]).toEqual(['answered', 'broken']);
    expect(handle.connectionUse?.requestsBefore).toBe(1);
  });

  it.each([false, true])('accepts many that end orderly, at the same time', async (isOwn) => {
    server = await startTarget((socket) => socket.end(`${HEAD}\r\n${'x'.repeat(20_000)}`));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const sends = Array.from(
      { length: 100 },
      () => client.send({ ...REQUEST, address, usesOwnConnection: isOwn }).outcome,
    );
    const outcomes = await Promise.all(sends);
    const lengths = outcomes.map((outcome) =>
      outcome.kind === 'answered' ? outcome.response.body.length : outcome.kind,
    );
    expect(lengths).toEqual(sends.map(() => 20_000));
  });

  it('rejects a response that is shorter than its length', async () => {
    const outcome = await send((socket) => socket.end(`${HEAD}content-length: 9\r\n\r\nhalf`));
    expect(outcome.kind).toBe('broken');
  });

  it('rejects a response that fails the head check and closes the connection', async () => {
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

  // Guards against taking the duration of a failed attempt for the round trip to a failure domain.
  it('records the time of connections that come up, and of no others', async () => {
    connected.length = 0;
    await send((socket) => socket.end(`${HEAD}content-length: 0\r\n\r\n`));
    expect(connected).toHaveLength(1);
    await send(() => undefined, { address: '127.0.0.1:1' });
    expect(connected).toHaveLength(1);
  });

  it('reports that nothing was sent if the connection fails', async () => {
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

  it('uses a new connection for each request on demand', async () => {
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
