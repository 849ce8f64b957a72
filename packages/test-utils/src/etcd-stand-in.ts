import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { StoredValue, StoreEvent } from '@ferrylock/platform';
import { z } from 'zod';
import { KeyValueEngine } from './key-value-engine.js';

const rangeRequestSchema = z.object({
  key: z.string(),
  range_end: z.string().optional(),
  keys_only: z.boolean().default(false),
});

const transactionRequestSchema = z.object({
  compare: z.array(z.object({ key: z.string(), mod_revision: z.coerce.number() })).length(1),
  success: z.array(z.object({ request_put: z.object({ key: z.string(), value: z.string() }) })),
});

const watchRequestSchema = z.object({
  create_request: z.object({ key: z.string(), start_revision: z.coerce.number().default(0) }),
});

/** A key-value service that speaks the used part of etcd v3's JSON mapping, with faults. */
export class EtcdStandIn {
  readonly engine = new KeyValueEngine();
  readonly #server: Server = createServer((request, response) => {
    void this.#handle(request, response);
  });

  /** Listens on a free port of the loopback address and returns the endpoint's URL. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async stop(): Promise<void> {
    this.engine.cutWatches();
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = JSON.parse(await readBody(request)) as unknown;
    const { faults, calls } = this.engine;
    if (faults.slowMilliseconds > 0) {
      await new Promise((resolve) => setTimeout(resolve, faults.slowMilliseconds));
    }
    if (faults.down) {
      response.socket?.destroy();
      return;
    }
    switch (request.url) {
      case '/v3/kv/range':
        calls.reads++;
        sendJson(response, this.#range(rangeRequestSchema.parse(body)));
        return;
      case '/v3/kv/txn':
        calls.writes++;
        this.#transact(transactionRequestSchema.parse(body), response);
        return;
      case '/v3/watch':
        calls.watches++;
        this.#watch(watchRequestSchema.parse(body).create_request, response);
        return;
      default:
        response.writeHead(404).end();
    }
  }

  #range(request: z.infer<typeof rangeRequestSchema>): unknown {
    const key = decode(request.key);
    const single = this.engine.get(key);
    const values =
      request.range_end === undefined
        ? single === undefined
          ? []
          : [single]
        : this.engine.list(key).values;
    const kvs = values
      .map(toWire)
      .map((entry) => (request.keys_only ? { ...entry, value: '' } : entry));
    return { header: this.#header(), kvs, count: String(values.length) };
  }

  #transact(request: z.infer<typeof transactionRequestSchema>, response: ServerResponse): void {
    const [first, ...rest] = request.success.map(({ request_put: put }) => ({
      key: decode(put.key),
      value: decode(put.value),
    }));
    const compare = request.compare[0];
    if (first === undefined || compare === undefined) {
      response.writeHead(400).end();
      return;
    }
    const outcome = this.engine.compareAndSwap({
      ...first,
      expectedRevision: compare.mod_revision,
      alongside: rest,
    });
    if (this.engine.faults.loseWriteReplies) {
      response.socket?.destroy();
      return;
    }
    if (outcome.swapped) {
      sendJson(response, { header: this.#header(), succeeded: true, responses: [] });
      return;
    }
    const kvs = outcome.current === undefined ? [] : [toWire(outcome.current)];
    sendJson(response, { header: this.#header(), responses: [{ response_range: { kvs } }] });
  }

  #watch(request: { key: string; start_revision: number }, response: ServerResponse): void {
    const send = (result: object): void => {
      response.write(`${JSON.stringify({ result: { header: this.#header(), ...result } })}\n`);
    };
    response.writeHead(200, { 'content-type': 'application/json' });
    send({ created: true });
    const stop = this.engine.watch(
      decode(request.key),
      request.start_revision,
      (events) => {
        send({ events: events.map(toWireEvent) });
      },
      () => response.destroy(),
    );
    response.on('close', stop);
  }

  #header(): object {
    const { storeId, revision } = this.engine.state;
    return { cluster_id: storeId, revision: String(revision) };
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function sendJson(response: ServerResponse, body: unknown): void {
  response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}

function toWire(value: StoredValue): object {
  return {
    key: encode(value.key),
    value: encode(value.value),
    mod_revision: String(value.revision),
  };
}

function toWireEvent(event: StoreEvent): object {
  const kv = { key: encode(event.key), mod_revision: String(event.revision) };
  return event.value === undefined
    ? { type: 'DELETE', kv }
    : { kv: { ...kv, value: encode(event.value) } };
}

function encode(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function decode(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}
