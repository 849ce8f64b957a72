import type { Result } from 'ts-results-es';
import type { StorePosition } from '../fleet/store-position.js';
import type { DeltaResult } from './peer-messages.js';

/** Calls to other entry hosts, by their control addresses. */
export interface PeerCalls {
  /** What leads from a position to the peer's; the error says why there is no answer. */
  delta(address: string, after: StorePosition): Promise<Result<DeltaResult, string>>;
  close(): Promise<void>;
}
