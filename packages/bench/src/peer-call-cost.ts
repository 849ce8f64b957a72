import { ControlServer, HttpPeerTransport, OpenAuthenticator } from '@ferrylock/daemon';
import { PeerRouter } from '@ferrylock/control';

const WARM_UP_CALLS = 2_000;
const CALLS = 8_000;

/**
 * Processor time of one call between daemons over HTTP on loopback, both sides together, in
 * milliseconds. A daemon makes as many calls as it answers, so that it bears one of these a call.
 */
export async function measurePeerCall(): Promise<number> {
  const router = new PeerRouter();
  router.handle('configuration.generation', () => ({ generation: 1 }));
  const server = new ControlServer({ router, authenticator: new OpenAuthenticator() });
  const address = await server.listen('127.0.0.1:0');
  const transport = new HttpPeerTransport();
  const run = async (calls: number): Promise<void> => {
    for (let call = 0; call < calls; call++) {
      await transport.call({
        address,
        method: 'configuration.generation',
        params: { account: 'atec' },
        timeoutMilliseconds: 1_000,
      });
    }
  };
  await run(WARM_UP_CALLS);
  const before = process.cpuUsage();
  await run(CALLS);
  const cpu = process.cpuUsage(before);
  await transport.close();
  await server.close();
  return (cpu.user + cpu.system) / 1_000 / CALLS;
}
