/** Stand-in for a backend, by PROTOCOL.md: slots, a queue, health, its entry in the store. */
import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

const HEARTBEAT_MILLISECONDS = 1_500;

export class Backend {
  running = 0;
  #queue = [];
  #sequence = 0;
  #heartbeat;
  #options;
  #server;

  /**
   * @param options - id, host, service, zone, slots, queue, record, workMilliseconds(request) and
   *   onWhole(request, socket), called after a whole answer was written
   */
  constructor(options) {
    this.#options = { slots: 6, queue: 18, ...options };
    this.#server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
      this.#handle(request, response).catch(() => {
        response.destroy();
      });
    });
  }

  get id() {
    return this.#options.id;
  }

  async listen() {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, this.#options.host, resolve);
    });
  }

  register(store) {
    const write = () => {
      store.put(`servers/${this.id}`, this.#entry());
    };
    write();
    this.#heartbeat = setInterval(write, HEARTBEAT_MILLISECONDS);
  }

  close() {
    clearInterval(this.#heartbeat);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #entry() {
    const { host, service, zone, slots } = this.#options;
    return {
      address: `${host}:${this.#server.address().port}`,
      information: { service, version: 'v1', zone, slots },
      status: { state: 'ready', sequence: ++this.#sequence, cold_remaining: '0ms' },
    };
  }

  async #handle(request, response) {
    const { record, slots, queue } = this.#options;
    const { 'x-attempt-identifier': attempt, 'x-expected-instance': expected } = request.headers;
    if (request.url === '/health') {
      response.setHeader('X-Instance-Identifier', this.id);
      this.#end(response, 200, '');
      return;
    }
    const connection = request.socket.remotePort;
    await this.#options.onRequest?.(request);
    for await (const chunk of request) {
      void chunk;
    }
    if (attempt !== undefined) {
      response.setHeader('X-Attempt-Identifier', attempt);
    }
    if (expected !== undefined && expected !== this.id) {
      response.setHeader('X-Instance-Identifier', this.id);
      this.#end(response, 421, '');
      return;
    }
    if (this.running >= slots && this.#queue.length >= queue) {
      record.write(`backend ${this.id} full, did not run ${attempt} (connection ${connection})`);
      response.setHeader('X-Not-Executed', '1');
      this.#end(response, 503, '');
      await this.#options.onShed?.(request);
      return;
    }
    await this.#enter();
    record.write(`backend ${this.id} RUNS ${attempt} (connection ${connection})`);
    try {
      await sleep(this.#options.workMilliseconds(request));
    } finally {
      this.#leave();
    }
    if (response.destroyed) {
      record.write(`backend ${this.id} finished ${attempt}, its connection was closed`);
      return;
    }
    record.write(`backend ${this.id} finished ${attempt}`);
    const body = `answer of ${this.id} to ${attempt}`;
    const signature = createHash('sha256').update(body).digest('hex').slice(0, 16);
    response.setHeader('X-Response-Signature', signature);
    this.#end(response, 200, body);
  }

  #end(response, status, body) {
    const { running } = this;
    response.setHeader('X-Server-Load', `${running},${this.#queue.length},${this.#options.slots}`);
    response.setHeader('Content-Length', body.length);
    response.writeHead(status);
    response.end(body);
  }

  async #enter() {
    if (this.running >= this.#options.slots) {
      await new Promise((resolve) => {
        this.#queue.push(resolve);
      });
    }
    this.running++;
  }

  #leave() {
    this.running--;
    this.#queue.shift()?.();
  }
}
