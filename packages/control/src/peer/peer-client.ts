import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { PeerMethod, PeerParams, PeerResult } from './peer-methods.js';
import { peerMethods } from './peer-methods.js';
import type { PeerFailure, PeerTransport } from './peer-transport.js';

/** Time after which a call to a peer counts as lost. */
export const PEER_TIMEOUT_MILLISECONDS = 500;

/** Calls peers with typed parameters and checks what they answer. */
export class PeerClient {
  constructor(readonly transport: PeerTransport) {}

  async call<Method extends PeerMethod>(
    address: string,
    method: Method,
    params: PeerParams<Method>,
    timeoutMilliseconds = PEER_TIMEOUT_MILLISECONDS,
  ): Promise<Result<PeerResult<Method>, PeerFailure>> {
    const answer = await this.transport.call({ address, method, params, timeoutMilliseconds });
    if (answer.isErr()) {
      return answer;
    }
    const parsed = peerMethods[method].result.safeParse(answer.value);
    return parsed.success
      ? Ok(parsed.data as PeerResult<Method>)
      : Err({ kind: 'rejected', message: `${method}: unexpected answer: ${parsed.error.message}` });
  }
}
