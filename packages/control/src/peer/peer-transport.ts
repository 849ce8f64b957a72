import type { Result } from 'ts-results-es';

/** Failure of a call to a peer. */
export interface PeerFailure {
  /**
   * `refused`: the connection was refused. `rejected`: the peer returned an error. `lost`: no
   * response in time, so the call may or may not have been executed.
   */
  readonly kind: 'refused' | 'rejected' | 'lost';
  readonly message: string;
}

export interface PeerCall {
  readonly address: string;
  readonly method: string;
  readonly params: unknown;
  readonly timeoutMilliseconds: number;
}

/** Transport for RPC calls between daemons. */
export interface PeerTransport {
  call(call: PeerCall): Promise<Result<unknown, PeerFailure>>;
}
