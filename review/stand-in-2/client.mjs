/** A client: one request on a connection of its own, and what came back, as its socket saw it. */
import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import { connect } from 'node:net';
import { setTimeout, clearTimeout } from 'node:timers';

export const newId = () => randomBytes(8).toString('hex');

/**
 * Sends a request and reads the answer as RFC 9112 frames it: by length, by chunks, or up to the end
 * of the connection. `end` tells how the connection ended, if it did.
 */
export function ask(address, options) {
  const { method = 'GET', path, id = newId(), budget = 3000, body, headers = {} } = options;
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const startedAt = Date.now();
    const socket = connect({ host, port: Number(port) });
    const chunks = [];
    let end = 'open';
    let timer = undefined;
    const finish = (cause) => {
      clearTimeout(timer);
      socket.destroy();
      resolve({ id, cause, ms: Date.now() - startedAt, ...parse(Buffer.concat(chunks), end) });
    };
    timer = setTimeout(() => finish('budget'), options.wait ?? budget);
    const fields = {
      Host: 'jepu9.example',
      'X-Attempt-Identifier': id,
      'X-Affinity-Key': '17',
      'X-Deadline-Milliseconds': String(budget),
      ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }),
      ...headers,
    };
    const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`);
    if (body !== undefined) {
      socket.write(body);
    }
    socket.on('data', (chunk) => {
      chunks.push(chunk);
      options.onData?.(socket, chunks);
      const answer = parse(Buffer.concat(chunks), 'open');
      if (answer.isComplete) {
        finish('answered');
      }
    });
    socket.on('end', () => {
      end = 'fin';
      finish('ended');
    });
    socket.on('error', ({ code }) => {
      end = code;
      finish('error');
    });
  });
}

/** Reads an answer; it is complete as soon as its framing says so. */
export function parse(bytes, end) {
  const at = bytes.indexOf('\r\n\r\n');
  if (at < 0) {
    return { status: undefined, isComplete: false, end, body: Buffer.alloc(0), headers: {} };
  }
  const [line, ...rows] = bytes.subarray(0, at).toString('latin1').split('\r\n');
  const headers = {};
  for (const row of rows) {
    const colon = row.indexOf(':');
    headers[row.slice(0, colon).toLowerCase()] = row.slice(colon + 1).trim();
  }
  const status = Number(line.split(' ')[1]);
  const rest = bytes.subarray(at + 4);
  const length = headers['content-length'];
  if (length !== undefined) {
    const isComplete = rest.length >= Number(length);
    return { status, headers, end, isComplete, framing: 'length', body: rest };
  }
  if (headers['transfer-encoding'] === 'chunked') {
    const { body, isComplete } = unchunk(rest);
    return { status, headers, end, isComplete, framing: 'chunked', body };
  }
  return { status, headers, end, isComplete: end === 'fin', framing: 'close', body: rest };
}

function unchunk(bytes) {
  const parts = [];
  let at = 0;
  for (;;) {
    const line = bytes.indexOf('\r\n', at);
    const size = line < 0 ? Number.NaN : Number.parseInt(bytes.subarray(at, line).toString(), 16);
    if (Number.isNaN(size) || line + 2 + size + 2 > bytes.length) {
      return { body: Buffer.concat(parts), isComplete: false };
    }
    if (size === 0) {
      return { body: Buffer.concat(parts), isComplete: true };
    }
    parts.push(bytes.subarray(line + 2, line + 2 + size));
    at = line + 2 + size + 2;
  }
}
