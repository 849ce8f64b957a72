import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { PeerMethod, PeerParams, PeerResult } from './peer-methods.js';
import { peerMethods } from './peer-methods.js';
import type { PeerFailure, PeerTransport } from './peer-transport.js';

/** Default timeout of a call to a peer. */
export const PEER_TIMEOUT_MILLISECONDS = 500;

/** Typed RPC client that validates the results of peers. */
export class PeerClient {
  constructor(readonly transport: PeerTransport) {}

  async call<Method extends PeerMethod>(
    address: string,
    method: Method,
    params: PeerParams<Method>,
    timeoutMilliseconds = PEER_TIMEOUT_MILLISECONDS,
  ): Promise<Result<PeerResult<Method>, PeerFailure>> {
    const response = await this.transport.call({ address, method, params, timeoutMilliseconds });
    if (response.isErr()) {
      return response;
    }
    const parsed = peerMethods[method].result.safeParse(response.value);
    return parsed.success
      ? Ok(parsed.data as PeerResult<Method>)
      : Err({ kind: 'rejected', message: `${method}: unexpected answer: ${parsed.error.message}` });
  }
}
