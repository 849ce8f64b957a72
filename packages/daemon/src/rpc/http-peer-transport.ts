import type { PeerCall, PeerFailure, PeerTransport } from '@ferrylock/control';
import { createJSONRPCRequest } from 'json-rpc-2.0';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Agent } from 'undici';
import { z } from 'zod';

export const PEER_PATH = '/peer';
const CONNECTIONS_PER_PEER = 2;
const IDLE_MILLISECONDS = 10_000;

const responseSchema = z.object({
  id: z.union([z.number(), z.string(), z.null()]),
  result: z.unknown().optional(),
  error: z.object({ code: z.number(), message: z.string() }).optional(),
});

/** Calls to peers as JSON-RPC 2.0 over HTTP. */
export class HttpPeerTransport implements PeerTransport {
  readonly #agent = new Agent({
    connections: CONNECTIONS_PER_PEER,
    keepAliveTimeout: IDLE_MILLISECONDS,
  });
  #nextId = 1;

  async call(call: PeerCall): Promise<Result<unknown, PeerFailure>> {
    const id = this.#nextId++;
    try {
      const response = await this.#agent.request({
        origin: `http://${call.address}`,
        method: 'POST',
        path: PEER_PATH,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(createJSONRPCRequest(id, call.method, call.params)),
        signal: AbortSignal.timeout(call.timeoutMilliseconds),
      });
      return readAnswer(id, await response.body.text());
    } catch (error) {
      return Err({ kind: isRefusal(error) ? 'refused' : 'lost', message: String(error) });
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function readAnswer(id: number, text: string): Result<unknown, PeerFailure> {
  const parsed = responseSchema.safeParse(JSON.parse(text));
  if (!parsed.success || parsed.data.id !== id) {
    return Err({ kind: 'lost', message: 'an answer that belongs to no call' });
  }
  const { error, result } = parsed.data;
  return error === undefined ? Ok(result) : Err({ kind: 'rejected', message: error.message });
}

function isRefusal(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}
