import type { Result } from 'ts-results-es';
import type { StorePosition } from '../fleet/store-position.js';
import type { DeltaResult } from './peer-messages.js';

/** RPC calls to other entry hosts, by control address. */
export interface PeerCalls {
  /** Returns the peer's changes since a position, or the reason why the call failed. */
  delta(address: string, after: StorePosition): Promise<Result<DeltaResult, string>>;
  close(): Promise<void>;
}
