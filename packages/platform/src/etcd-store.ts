import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Pool } from 'undici';
import type { z } from 'zod';
import type { EtcdKeyValue } from './etcd-schemas.js';
import {
  decodeText,
  encodeText,
  prefixRangeEnd,
  rangeResponseSchema,
  transactionResponseSchema,
  watchMessageSchema,
} from './etcd-schemas.js';
import type {
  KeyValueStore,
  StoreEvent,
  StoredValue,
  StoreFailure,
  StoreListing,
  StoreRevisions,
  StoreState,
  Swap,
  SwapOutcome,
  WatchOptions,
} from './key-value-store.js';

const DEFAULT_TIMEOUT_MILLISECONDS = 2_000;
/** A key that is never written: reading it brings back the store's state and nothing else. */
const STATE_PROBE_KEY = 'ferrylock/state-probe';
const CONNECTIONS_PER_ENDPOINT = 4;

export interface EtcdStoreOptions {
  /** Addresses such as http://127.0.0.1:2379, tried in turn. */
  readonly endpoints: readonly string[];
  readonly timeoutMilliseconds?: number;
}

/** The key-value service by etcd v3's JSON mapping over HTTP. */
export class EtcdStore implements KeyValueStore {
  readonly #pools: readonly Pool[];
  readonly #timeoutMilliseconds: number;
  #preferred = 0;

  constructor(options: EtcdStoreOptions) {
    this.#timeoutMilliseconds = options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
    this.#pools = options.endpoints.map(
      (endpoint) => new Pool(endpoint, { connections: CONNECTIONS_PER_ENDPOINT }),
    );
  }

  async get(key: string): Promise<Result<StoredValue | undefined, StoreFailure>> {
    const response = await this.#call('/v3/kv/range', rangeResponseSchema, {
      key: encodeText(key),
    });
    return response.map((range) => range.kvs.map(toStoredValue)[0]);
  }

  async list(prefix: string): Promise<Result<StoreListing, StoreFailure>> {
    const response = await this.#call('/v3/kv/range', rangeResponseSchema, {
      key: encodeText(prefix),
      range_end: prefixRangeEnd(prefix),
    });
    return response.map((range) => ({
      ...toState(range.header),
      values: range.kvs.map(toStoredValue),
    }));
  }

  async revisions(prefix: string): Promise<Result<StoreRevisions, StoreFailure>> {
    const response = await this.#call('/v3/kv/range', rangeResponseSchema, {
      key: encodeText(prefix),
      range_end: prefixRangeEnd(prefix),
      keys_only: true,
    });
    return response.map((range) => ({
      ...toState(range.header),
      revisions: new Map(range.kvs.map((entry) => [decodeText(entry.key), entry.mod_revision])),
    }));
  }

  async state(): Promise<Result<StoreState, StoreFailure>> {
    const response = await this.#call('/v3/kv/range', rangeResponseSchema, {
      key: encodeText(STATE_PROBE_KEY),
    });
    return response.map((range) => toState(range.header));
  }

  async compareAndSwap(swap: Swap): Promise<Result<SwapOutcome, StoreFailure>> {
    const key = encodeText(swap.key);
    const puts = [{ key: swap.key, value: swap.value }, ...(swap.alongside ?? [])];
    const response = await this.#call('/v3/kv/txn', transactionResponseSchema, {
      compare: [
        { key, target: 'MOD', result: 'EQUAL', mod_revision: String(swap.expectedRevision) },
      ],
      success: puts.map((put) => ({
        request_put: { key: encodeText(put.key), value: encodeText(put.value) },
      })),
      failure: [{ request_range: { key } }],
    });
    return response.map((transaction): SwapOutcome => {
      if (transaction.succeeded) {
        return { swapped: true, revision: transaction.header.revision };
      }
      const current = transaction.responses[0]?.response_range?.kvs.map(toStoredValue)[0];
      return { swapped: false, current };
    });
  }

  async watch(options: WatchOptions): Promise<StoreFailure> {
    try {
      const response = await this.#pool().request({
        method: 'POST',
        path: '/v3/watch',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({
          create_request: {
            key: encodeText(options.prefix),
            range_end: prefixRangeEnd(options.prefix),
            start_revision: String(options.fromRevision),
            progress_notify: true,
          },
        }),
        signal: options.signal,
        bodyTimeout: 0,
        headersTimeout: this.#timeoutMilliseconds,
      });
      return await readWatch(response.body, options);
    } catch (error) {
      this.#tryNextEndpoint();
      return { message: `watch cut: ${String(error)}`, mayHaveTakenEffect: false };
    }
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    await Promise.all(this.#pools.map((pool) => pool.destroy()));
  }

  async #call<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
    body: unknown,
  ): Promise<Result<z.output<Schema>, StoreFailure>> {
    try {
      const response = await this.#pool().request({
        method: 'POST',
        path,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(this.#timeoutMilliseconds),
      });
      const text = await response.body.text();
      if (response.statusCode !== 200) {
        throw new Error(`status ${response.statusCode}`);
      }
      return Ok(schema.parse(JSON.parse(text)));
    } catch (error) {
      this.#tryNextEndpoint();
      return Err({
        message: `key-value service: ${path}: ${String(error)}`,
        mayHaveTakenEffect: path === '/v3/kv/txn' && !isConnectRefusal(error),
      });
    }
  }

  #pool(): Pool {
    const pool = this.#pools[this.#preferred % this.#pools.length];
    if (pool === undefined) {
      throw new Error('no endpoint of the key-value service is set');
    }
    return pool;
  }

  #tryNextEndpoint(): void {
    this.#preferred++;
  }
}

function toState(header: { revision: number; cluster_id: string }): StoreState {
  return { storeId: header.cluster_id, revision: header.revision };
}

function toStoredValue(entry: EtcdKeyValue): StoredValue {
  return {
    key: decodeText(entry.key),
    value: decodeText(entry.value),
    revision: entry.mod_revision,
  };
}

/** A refused connection is the one failure after which a write has surely not happened. */
function isConnectRefusal(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

async function readWatch(body: Readable, options: WatchOptions): Promise<StoreFailure> {
  for await (const line of createInterface({ input: body })) {
    const message = watchMessageSchema.parse(JSON.parse(line));
    const result = message.result;
    if (result === undefined || result.canceled) {
      return {
        message: `watch cancelled: ${line}`,
        mayHaveTakenEffect: false,
        compacted: (result?.compact_revision ?? 0) > 0,
      };
    }
    if (result.events.length > 0) {
      options.onEvents(result.events.map(toStoreEvent));
    }
  }
  return { message: 'watch ended by the store', mayHaveTakenEffect: false };
}

function toStoreEvent(event: { type: string; kv: EtcdKeyValue }): StoreEvent {
  return {
    key: decodeText(event.kv.key),
    value: event.type === 'DELETE' ? undefined : decodeText(event.kv.value),
    revision: event.kv.mod_revision,
  };
}
