import type { Result } from 'ts-results-es';

/** Why a call to a peer brought no result. */
export interface PeerFailure {
  /**
   * `refused`: the peer's host says that nothing listens there. `rejected`: the peer answered with
   * an error. `lost`: no answer in time, so it may or may not have been carried out.
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

/** Carries calls between daemons. */
export interface PeerTransport {
  call(call: PeerCall): Promise<Result<unknown, PeerFailure>>;
}
