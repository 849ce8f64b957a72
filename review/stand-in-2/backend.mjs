/** A backend: it takes requests on a socket, one at a time a connection, and answers as told. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:net';
import { randomBytes } from 'node:crypto';
import { setInterval, clearInterval } from 'node:timers';

/** Takes whole requests from the bytes of a connection; bodies have a length. */
export function takeRequest(bytes) {
  const end = bytes.indexOf('\r\n\r\n');
  if (end < 0) {
    return undefined;
  }
  const [line, ...fields] = bytes.subarray(0, end).toString('latin1').split('\r\n');
  const headers = Object.fromEntries(
    fields.map((field) => {
      const colon = field.indexOf(':');
      return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
    }),
  );
  const length = Number(headers['content-length'] ?? 0);
  if (bytes.length < end + 4 + length) {
    return undefined;
  }
  const [method, path] = line.split(' ');
  const body = bytes.subarray(end + 4, end + 4 + length);
  const rest = bytes.subarray(end + 4 + length);
  return { request: { method, path, headers, body }, rest };
}

export class Backend {
  runs = [];
  #sockets = new Set();
  #sequence = 1;

  /** @param answer - function of the request, its socket and the backend */
  constructor(store, { service, zone, answer, slots = 6, coldMilliseconds = 0 }) {
    this.id = `i-${randomBytes(4).toString('hex')}`;
    this.coldUntil = Date.now() + coldMilliseconds;
    Object.assign(this, { store, service, zone, answer, slots, state: 'ready' });
  }

  async start(host, port = 0) {
    this.server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
      socket.on('error', () => undefined);
      let bytes = Buffer.alloc(0);
      socket.on('data', (chunk) => {
        bytes = Buffer.concat([bytes, chunk]);
        for (let taken = takeRequest(bytes); taken !== undefined; taken = takeRequest(bytes)) {
          bytes = taken.rest;
          this.#take(taken.request, socket);
        }
      });
    });
    await new Promise((resolve) => this.server.listen(port, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
    this.write();
    this.beat = setInterval(() => this.write(), 1500);
  }

  /** Writes its entry, as about every heartbeat_interval. */
  write() {
    this.store.put(`servers/${this.id}`, {
      address: this.address,
      information: { service: this.service, version: 'v1', zone: this.zone, slots: this.slots },
      status: {
        state: this.state,
        sequence: this.#sequence++,
        cold_remaining: `${Math.max(0, this.coldUntil - Date.now())}ms`,
      },
    });
  }

  #take(request, socket) {
    if (request.path === '/health') {
      this.reply(socket, request, 200, '');
    } else if (request.headers['x-expected-instance'] !== this.id) {
      this.reply(socket, request, 421, '', { 'X-Not-Executed': '1' });
    } else {
      const id = request.headers['x-attempt-identifier'];
      this.runs.push({ id, at: Date.now(), method: request.method, path: request.path });
      this.answer(request, socket, this);
    }
  }

  head(request, status, headers = {}) {
    const fields = {
      'X-Attempt-Identifier': request.headers['x-attempt-identifier'] ?? '',
      'X-Instance-Identifier': this.id,
      'X-Server-Load': `1,0,${this.slots}`,
      ...(status < 500 && status !== 421 ? { 'X-Response-Signature': 'sig' } : {}),
      ...headers,
    };
    const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
    return `HTTP/1.1 ${status} Status\r\n${lines.join('')}\r\n`;
  }

  reply(socket, request, status, body, headers = {}) {
    const length = { 'Content-Length': Buffer.byteLength(body), ...headers };
    socket.write(
      Buffer.concat([Buffer.from(this.head(request, status, length)), Buffer.from(body)]),
    );
  }

  stop() {
    clearInterval(this.beat);
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    this.server.close();
  }
}

/** A configuration with one service for each kind of route. */
export function configuration(version, routes, limits = {}, service = {}) {
  const services = [...new Set(routes.flatMap(({ service }) => service))];
  return {
    version: version.toString(16).padStart(8, '0'),
    routes: routes.map((route, index) => ({
      name: `r-${index}`,
      host: 'jepu9.example',
      kind: 'idempotent',
      timeout: '3000ms',
      target_latency: '400ms',
      priority: 1,
      maximum_attempts: 2,
      session_affinity: true,
      home_regions: [],
      ...route,
    })),
    services: services.map((name) => ({
      name,
      health_path: '/health',
      maximum_connections: 390,
      protocol: 'h1',
      tls: false,
      cold_start: '3s',
      cold_per_s: 9,
      ...service,
    })),
    limits: {
      maximum_header_bytes: 16384,
      maximum_body_bytes: 67108864,
      header_timeout: '3000ms',
      idle_timeout: '15000ms',
      ...limits,
    },
  };
}
