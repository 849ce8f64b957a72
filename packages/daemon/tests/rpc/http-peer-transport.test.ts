import { PeerRouter } from '@ferrylock/control';
import { afterEach, describe, expect, it } from 'vitest';
import { ClosedAuthenticator } from '../../src/rpc/operator-authenticator.js';
import { ControlServer, HttpPeerTransport } from '../../src/index.js';

const transport = new HttpPeerTransport();
const servers: ControlServer[] = [];

afterEach(async () => {
  await Promise.all(servers.splice(0).map((server) => server.close()));
});

async function startPeer(answer: () => Promise<{ generation: number }>): Promise<string> {
  const router = new PeerRouter();
  router.handle('configuration.generation', answer);
  const server = new ControlServer({ router, authenticator: new ClosedAuthenticator() });
  servers.push(server);
  return server.listen('127.0.0.1:0');
}

function call(
  address: string,
  params: unknown = { account: 'atec' },
  timeoutMilliseconds = 20_000,
): ReturnType<HttpPeerTransport['call']> {
  return transport.call({
    address,
    method: 'configuration.generation',
    params,
    timeoutMilliseconds,
  });
}

describe('HttpPeerTransport', () => {
  it('brings the peer’s result', async () => {
    const address = await startPeer(() => Promise.resolve({ generation: 7 }));
    expect((await call(address)).unwrap()).toEqual({ generation: 7 });
  });

  it.each([
    ['rejected', 'wrong parameters', { account: 5 }],
    ['rejected', 'a handler that fails', { account: 'atec' }],
  ])('tells %s for %s', async (kind, _name, params) => {
    const address = await startPeer(() => Promise.reject(new Error('broken')));
    expect((await call(address, params)).unwrapErr().kind).toBe(kind);
  });

  it('tells lost for a peer that does not answer in time', async () => {
    const address = await startPeer(() => new Promise(() => undefined));
    expect((await call(address, undefined, 200)).unwrapErr().kind).toBe('lost');
  });

  it('tells refused where nothing listens', async () => {
    const address = await startPeer(() => Promise.resolve({ generation: 1 }));
    await servers.splice(0)[0]?.close();
    expect((await call(address)).unwrapErr().kind).toBe('refused');
  });
});
