import type { Result } from 'ts-results-es';
import type { DeltaResult } from './peer-messages.js';

/** Calls to other entry hosts, by their control addresses. */
export interface PeerCalls {
  /** What leads from a revision to the peer's; the error says why there is no answer. */
  delta(address: string, afterRevision: number): Promise<Result<DeltaResult, string>>;
  close(): Promise<void>;
}
