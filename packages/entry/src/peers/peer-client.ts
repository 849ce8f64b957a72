import { promisify } from 'node:util';
import { gunzip } from 'node:zlib';
import { describeParseError, ProgressTimeout } from '@ferrylock/utils';
import { createJSONRPCRequest } from 'json-rpc-2.0';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Agent } from 'undici';
import { z } from 'zod';
import type { StorePosition } from '../fleet/store-position.js';
import { epochOf } from '../fleet/store-position.js';
import { BoundedAgent } from '../request/bounded-agent.js';
import type { PeerCalls } from './peer-calls.js';
import type { DeltaResult } from './peer-messages.js';
import { DELTA_METHOD, deltaResultSchema } from './peer-messages.js';

/** HTTP path of RPC calls between entry hosts. */
export const PEER_PATH = '/peer';
/** Time to connect, and time without progress of a call; several round trips between regions. */
const TIMEOUT_MILLISECONDS = 600;
/** Time for a whole call; a megabyte on the narrowest links takes less. */
const MAX_CALL_MILLISECONDS = 3_000;
/** Bound on an answer as it is sent; all changes of a fleet of 4,600 hosts take less, compressed. */
const MAX_SENT_BYTES = 8 * 1024 * 1024;
/** Bound on an uncompressed answer. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
const IDLE_MILLISECONDS = 5_000;

const decompress = promisify(gunzip);

const responseSchema = z.object({
  id: z.union([z.number(), z.string(), z.null()]),
  result: z.unknown().optional(),
  error: z.object({ code: z.number(), message: z.string() }).optional(),
});

/** Client for JSON-RPC 2.0 over HTTP between entry hosts. */
export class PeerClient implements PeerCalls {
  readonly #agent = new BoundedAgent(
    new Agent({
      keepAliveTimeout: IDLE_MILLISECONDS,
      connect: { timeout: TIMEOUT_MILLISECONDS },
    }),
    MAX_SENT_BYTES,
  );
  #nextId = 1;

  async delta(address: string, after: StorePosition): Promise<Result<DeltaResult, string>> {
    const params = { afterRevision: after.revision, afterEpoch: epochOf(after) };
    const result = await this.#call(address, DELTA_METHOD, params);
    return result.andThen((value) => {
      const parsed = deltaResultSchema.safeParse(value);
      return parsed.success ? Ok(parsed.data) : Err(`invalid result: ${parsed.error.message}`);
    });
  }

  async close(): Promise<void> {
    await this.#agent.close();
  }

  async #call(address: string, method: string, params: unknown): Promise<Result<unknown, string>> {
    const id = this.#nextId++;
    const timeout = new ProgressTimeout({
      firstMilliseconds: TIMEOUT_MILLISECONDS,
      nextMilliseconds: TIMEOUT_MILLISECONDS,
      maxMilliseconds: MAX_CALL_MILLISECONDS,
    });
    try {
      const response = await this.#agent.request({
        origin: `http://${address}`,
        method: 'POST',
        path: PEER_PATH,
        headers: { 'content-type': 'application/json', 'accept-encoding': 'gzip' },
        body: JSON.stringify(createJSONRPCRequest(id, method, params)),
        signal: timeout.signal,
      });
      const body = await timeout.read(response.body);
      const isCompressed = response.headers['content-encoding'] === 'gzip';
      const bytes = isCompressed
        ? await decompress(body, { maxOutputLength: MAX_ANSWER_BYTES })
        : body;
      const parsed = responseSchema.parse(JSON.parse(bytes.toString()));
      if (parsed.id !== id) {
        return Err('response id does not match the request id');
      }
      return parsed.error === undefined ? Ok(parsed.result) : Err(parsed.error.message);
    } catch (error) {
      return Err(describeParseError(error));
    } finally {
      timeout.cancel();
    }
  }
}
