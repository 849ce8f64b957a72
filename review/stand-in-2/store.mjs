/** The platform's metadata store, as PROTOCOL.md describes it: items, leases, watches. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const seconds = (text) => Number.parseFloat(text) * (text.endsWith('ms') ? 1 : 1000);

export class Store {
  #items = new Map();
  #events = [];
  #leases = new Map();
  #watchers = new Set();
  #sockets = new Set();
  #revision = 1;
  #nextLease = 100;
  /**
   * Set to a function to change how calls are answered: of the URL, the response, the body and a
   * function that does the call. It returns true if it deals with the answer.
   */
  intercept = undefined;

  async start(host) {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        const url = new URL(request.url, 'http://store');
        const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
        const apply = (to) => this.#answer(request.method, url, body, to);
        if (this.intercept?.(url, response, { body, apply }) !== true) {
          apply(response);
        }
      });
    });
    this.server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  stop() {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    for (const { timer } of this.#leases.values()) {
      clearTimeout(timer);
    }
    this.server.close();
  }

  /** Writes an item as the operator and the backends do. */
  put(key, value) {
    this.#revision++;
    this.#set(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.#wake();
  }

  remove(key) {
    this.#revision++;
    this.#delete(key);
    this.#wake();
  }

  #set(key, value, lease) {
    const known = this.#items.get(key);
    const item = {
      private_key: key,
      value,
      revision: this.#revision,
      create_rev: known?.create_rev ?? this.#revision,
      lease,
    };
    this.#items.set(key, item);
    this.#events.push(item);
  }

  #delete(key) {
    if (this.#items.delete(key)) {
      this.#events.push({ private_key: key, revision: this.#revision, deleted: true });
    }
  }

  #wake() {
    for (const wake of this.#watchers) {
      wake();
    }
  }

  #keep(id) {
    const lease = this.#leases.get(id);
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.#end(id), lease.ttl);
  }

  #end(id) {
    clearTimeout(this.#leases.get(id)?.timer);
    this.#leases.delete(id);
    const keys = [...this.#items.values()].filter(({ lease }) => lease === id);
    if (keys.length > 0) {
      this.#revision++;
      for (const { private_key: key } of keys) {
        this.#delete(key);
      }
      this.#wake();
    }
  }

  #answer(method, url, body, response) {
    const { pathname, searchParams } = url;
    const send = (status, value) => {
      const text = JSON.stringify(value);
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    const id = Number(pathname.split('/').at(-1));
    if (pathname === '/v1/kv-key') {
      const item = this.#items.get(searchParams.get('private_key'));
      send(item ? 200 : 404, item ? { ...item, current_rev: this.#revision } : {});
    } else if (pathname === '/v1/kv-range') {
      const prefix = searchParams.get('path_prefix') ?? '';
      const after = searchParams.get('after') ?? '';
      const items = [...this.#items.values()]
        .filter(({ private_key: key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.private_key < b.private_key ? -1 : 1));
      const current = { current_rev: this.#revision };
      send(200, { items: items.slice(0, 500), truncated: items.length > 500, ...current });
    } else if (pathname === '/v1/kv-watch') {
      this.#watch(searchParams, response, send);
    } else if (pathname === '/v1/kv-lease') {
      const lease = this.#nextLease++;
      this.#leases.set(lease, { ttl: seconds(body.ttl_time) });
      this.#keep(lease);
      send(200, { lease, ttl_time: body.ttl_time });
    } else if (pathname.startsWith('/v1/kv-keep/')) {
      const lease = this.#leases.get(id);
      if (lease !== undefined) {
        this.#keep(id);
      }
      send(lease ? 200 : 404, lease ? { ttl_time: `${lease.ttl}ms` } : {});
    } else if (method === 'DELETE' && pathname.startsWith('/v1/kv-lease-end/')) {
      this.#end(id);
      send(200, {});
    } else if (pathname === '/v1/kv-txn') {
      this.#transact(body, send);
    } else {
      send(404, {});
    }
  }

  #watch(parameters, response, send) {
    const prefix = parameters.get('path_prefix') ?? '';
    const after = Number(parameters.get('after'));
    let timer = undefined;
    const answer = (isLast) => {
      const events = this.#events.filter(
        ({ private_key: key, revision }) => key.startsWith(prefix) && revision > after,
      );
      if (events.length > 0 || isLast) {
        this.#watchers.delete(wake);
        clearTimeout(timer);
        send(200, { events, current_rev: this.#revision });
      }
    };
    const wake = () => answer(false);
    this.#watchers.add(wake);
    timer = setTimeout(() => answer(true), Number(parameters.get('wait_ms')));
    response.on('close', () => {
      this.#watchers.delete(wake);
      clearTimeout(timer);
    });
    wake();
  }

  #transact({ expected_revision: expected = [], set_keys: sets = [], remove = [] }, send) {
    const isMet = ({ private_key: key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) === revision;
    if (!expected.every(isMet)) {
      const items = expected.flatMap(({ private_key: key }) => this.#items.get(key) ?? []);
      send(412, { items });
    } else if (sets.some(({ lease }) => lease !== 0 && !this.#leases.has(lease))) {
      send(404, {});
    } else {
      this.#revision++;
      for (const { private_key: key, value, lease } of sets) {
        this.#set(key, value, lease);
      }
      for (const key of remove) {
        this.#delete(key);
      }
      send(200, { revision: this.#revision });
      this.#wake();
    }
  }
}
