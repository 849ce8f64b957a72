import { expect, it, onTestFinished } from 'vitest';
import { UdpTransport } from '../../src/peers/udp-transport.js';
import { captureEvents } from '../fixtures.js';

/** Largest payload of a UDP datagram over IPv4. */
const MAX_PAYLOAD_BYTES = 65_507;

function open(onMessage: (text: string) => void) {
  const transport = new UdpTransport(captureEvents().log, (datagram) => {
    onMessage(datagram.toString());
  });
  onTestFinished(() => {
    transport.close();
  });
  return transport;
}

it('reports a datagram that the network does not carry, and delivers the next', async () => {
  let deliver: (text: string) => void = () => undefined;
  const received = new Promise<string>((resolve) => {
    deliver = resolve;
  });
  const address = await open(deliver).listen('127.0.0.1:0');
  const sender = open(() => undefined);
  const failure = await new Promise<string>((resolve) => {
    sender.send(address, Buffer.alloc(MAX_PAYLOAD_BYTES + 1), resolve);
  });
  expect(failure).toContain('EMSGSIZE');
  sender.send(address, Buffer.from('next'), deliver);
  expect(await received).toBe('next');
});

// Guards against one recipient that cannot be sent to and keeps the others from being sent to.
it('reports a datagram to an impossible port instead of throwing', async () => {
  const failure = await new Promise<string>((resolve) => {
    open(() => undefined).send('127.0.0.1:70000', Buffer.from('text'), resolve);
  });
  expect(failure).toContain('ERR_SOCKET_BAD_PORT');
});
