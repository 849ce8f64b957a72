import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { describe, expect, it } from 'vitest';
import { checkConnection } from '../../src/reachability/check-connection.js';

async function listen(): Promise<{ server: Server; address: string }> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

describe('checkConnection', () => {
  it('returns taken if a process listens', async () => {
    const { server, address } = await listen();
    expect(await checkConnection(address)).toBe('taken');
    server.close();
  });

  it('returns refused if no process listens any more', async () => {
    const { server, address } = await listen();
    await new Promise((resolve) => server.close(resolve));
    expect(await checkConnection(address)).toBe('refused');
  });

  it('returns unknown if the address is unreachable', async () => {
    expect(await checkConnection('255.255.255.255:1')).toBe('unknown');
  });
});
