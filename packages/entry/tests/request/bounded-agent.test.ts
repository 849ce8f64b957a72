import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { Agent } from 'undici';
import { describe, expect, it, onTestFinished } from 'vitest';
import { BoundedAgent } from '../../src/request/bounded-agent.js';

const KILOBYTE = 1_024;
const MAX_BYTES = 256 * KILOBYTE;
const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';

/**
 * Makes a request to a server that writes the first part once and the second until it is closed, or
 * resets the connection.
 */
async function receive(first: string, repeated = '', isReset = false): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      const more = (error?: Error | null): void => {
        if (repeated !== '' && (error === undefined || error === null)) {
          socket.write(repeated, more);
        }
      };
      socket.write(first, more);
      if (isReset) {
        socket.resetAndDestroy();
      }
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = new BoundedAgent(new Agent({ headersTimeout: 0, bodyTimeout: 0 }), MAX_BYTES);
  onTestFinished(async () => {
    await client.close();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return client
    .request({ origin: `http://127.0.0.1:${port}`, path: '/', method: 'GET' })
    .then(({ body }) => body.text())
    .catch((error: unknown) => String(error));
}

describe('BoundedAgent', () => {
  it('passes an answer up to the bound', async () => {
    const body = 'x'.repeat(MAX_BYTES);
    const whole = `HTTP/1.1 200 OK\r\ncontent-length: ${MAX_BYTES}\r\n\r\n${body}`;
    expect(await receive(whole)).toHaveLength(MAX_BYTES);
  });

  // Guards against part of an answer of the store or a peer that passes for the whole.
  it('rejects an answer without a length that is reset', async () => {
    const answer = await receive('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{}', '', true);
    expect(answer).toContain('reset before the end of the answer');
  });

  // Guards against a store or a peer that fills a host's memory, or keeps it busy, within a call.
  it.each([
    ['body', 'HTTP/1.1 200 OK\r\n\r\n', 'x'.repeat(64 * KILOBYTE)],
    ['body', CHUNKED, `10000\r\n${'x'.repeat(64 * KILOBYTE)}\r\n`],
    ['framing', `${CHUNKED}5;`, 'x'.repeat(64 * KILOBYTE)],
    ['head', '', 'HTTP/1.1 103 Hints\r\n\r\n'.repeat(3_000)],
    ['head', 'HTTP/1.1 200 ', 'x'.repeat(64 * KILOBYTE)],
  ])('ends an answer whose %s does not end, and names the bound', async (part, first, more) => {
    expect(await receive(first, more)).toMatch(
      new RegExp(`Error: the ${part} of the answer exceeds \\d+ bytes`),
    );
  });
});
