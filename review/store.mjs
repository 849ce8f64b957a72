/** Stand-in for the platform's metadata store, by PROTOCOL.md: keys, watches, transactions, leases. */
import { createServer } from 'node:http';
import { Buffer } from 'node:buffer';
import { URL } from 'node:url';
import { clearTimeout, setTimeout } from 'node:timers';

const PAGE_ITEMS = 50;

const encode = (value) => Buffer.from(JSON.stringify(value)).toString('base64');

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : JSON.parse(text);
};

/** Milliseconds of a time such as `1500ms` or `2.5s`. */
export const toMilliseconds = (text) => {
  const [, number, unit] = /^([\d.]+)(ms|s)$/.exec(text);
  return Number(number) * (unit === 's' ? 1000 : 1);
};

export class Store {
  #revision = 1;
  #items = new Map();
  /** Every change in order: items as written, or deletions. */
  #history = [];
  #waiting = new Set();
  #leases = new Map();
  #nextLease = 1000;
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => {
      response.destroy();
    });
  });

  async listen(host, port) {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    return `${host}:${this.#server.address().port}`;
  }

  close() {
    for (const { timer } of this.#leases.values()) {
      clearTimeout(timer);
    }
    for (const wake of this.#waiting) {
      wake();
    }
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a key as the operator or a backend does. */
  put(key, value) {
    this.#set(key, encode(value), 0);
    this.#wakeAll();
  }

  /** Removes a key as the operator or a backend does. */
  remove(key) {
    this.#delete(key);
    this.#wakeAll();
  }

  get(key) {
    const item = this.#items.get(key);
    return item && JSON.parse(Buffer.from(item.value, 'base64').toString());
  }

  keys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  #set(key, value, lease) {
    const revision = ++this.#revision;
    const create_rev = this.#items.get(key)?.create_rev ?? revision;
    const item = { private_key: key, value, revision, create_rev, lease };
    this.#items.set(key, item);
    this.#history.push(item);
  }

  #delete(key) {
    if (this.#items.delete(key)) {
      this.#history.push({ private_key: key, revision: ++this.#revision, deleted: true });
    }
  }

  #wakeAll() {
    for (const wake of this.#waiting) {
      wake();
    }
  }

  async #handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = request.method === 'POST' ? await readBody(request) : {};
    const [status, answer] = await this.#answer(request.method, url, body);
    const text = JSON.stringify(answer);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  async #answer(method, { pathname, searchParams }, body) {
    const call = `${method} ${pathname}`;
    if (call === 'GET /v1/kv-key') {
      const item = this.#items.get(searchParams.get('private_key'));
      return item === undefined ? [404, {}] : [200, { ...item, current_rev: this.#revision }];
    }
    if (call === 'GET /v1/kv-range') {
      return [200, this.#range(searchParams.get('path_prefix'), searchParams.get('after'))];
    }
    if (call === 'GET /v1/kv-watch') {
      return [200, await this.#watch(searchParams)];
    }
    if (call === 'POST /v1/kv-txn') {
      return this.#transact(body);
    }
    if (call === 'POST /v1/kv-lease') {
      return [200, this.#grant(toMilliseconds(body.ttl_time))];
    }
    const keep = /^POST \/v1\/kv-keep\/(\d+)$/.exec(call);
    if (keep !== null) {
      return this.#renew(Number(keep[1]));
    }
    const end = /^DELETE \/v1\/kv-lease-end\/(\d+)$/.exec(call);
    if (end !== null) {
      this.#endLease(Number(end[1]));
      return [200, {}];
    }
    return [404, {}];
  }

  #range(prefix, after) {
    const keys = [...this.#items.keys()].filter((key) => key.startsWith(prefix)).sort();
    const rest = keys.filter((key) => after === null || key > after);
    const items = rest.slice(0, PAGE_ITEMS).map((key) => this.#items.get(key));
    return { items, truncated: rest.length > PAGE_ITEMS, current_rev: this.#revision };
  }

  async #watch(parameters) {
    const prefix = parameters.get('path_prefix');
    const after = Number(parameters.get('after'));
    const deadline = Date.now() + Math.min(30_000, Number(parameters.get('wait_ms')));
    for (;;) {
      const events = this.#history.filter(
        ({ private_key: key, revision }) => revision > after && key.startsWith(prefix),
      );
      const left = deadline - Date.now();
      if (events.length > 0 || left <= 0) {
        return { events, current_rev: this.#revision };
      }
      await this.#nextChange(left);
    }
  }

  /** Waits for the next change, or until the time has passed. */
  #nextChange(milliseconds) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.#waiting.add(wake);
    });
  }

  #transact({ expected_revision: expected = [], set_keys: sets = [], remove = [] }) {
    const isMet = expected.every(
      ({ private_key: key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const items = expected.flatMap(({ private_key: key }) => this.#items.get(key) ?? []);
      return [412, { items }];
    }
    if (sets.some(({ lease }) => lease !== 0 && !this.#leases.has(lease))) {
      return [404, {}];
    }
    for (const { private_key: key, value, lease } of sets) {
      this.#set(key, value, lease);
      this.#leases.get(lease)?.keys.add(key);
    }
    for (const key of remove) {
      this.#delete(key);
    }
    this.#wakeAll();
    return [200, { revision: this.#revision }];
  }

  #grant(milliseconds) {
    const lease = this.#nextLease++;
    this.#leases.set(lease, { milliseconds, keys: new Set(), timer: undefined });
    this.#renew(lease);
    return { lease, ttl_time: `${milliseconds}ms` };
  }

  #renew(lease) {
    const held = this.#leases.get(lease);
    if (held === undefined) {
      return [404, {}];
    }
    clearTimeout(held.timer);
    held.timer = setTimeout(() => {
      this.#endLease(lease);
    }, held.milliseconds);
    return [200, { ttl_time: `${held.milliseconds}ms` }];
  }

  #endLease(lease) {
    const held = this.#leases.get(lease);
    if (held === undefined) {
      return;
    }
    clearTimeout(held.timer);
    this.#leases.delete(lease);
    for (const key of held.keys) {
      if (this.#items.get(key)?.lease === lease) {
        this.#delete(key);
      }
    }
    this.#wakeAll();
  }
}
