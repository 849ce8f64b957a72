import type { HeartbeatFields } from '../peer/peer-methods.js';
import type { Member } from './member.js';

/** Heartbeat fields that are filled in by components other than the membership. */
export type ExtraHeartbeatFields = Pick<
  HeartbeatFields,
  | 'configurationDigest'
  | 'configurationAgeMilliseconds'
  | 'reclaimNotices'
  | 'positions'
  | 'suspects'
>;

/** Heartbeat request or response received from a peer. */
export interface ReceivedHeartbeat {
  readonly from: Member;
  readonly fields: ExtraHeartbeatFields;
  /** Earliest local clock time at which the peer can have sent this. */
  readonly notBefore: number;
}

/** Component that contributes fields to heartbeats and processes those of peers. */
export interface HeartbeatParticipant {
  describe(): Partial<ExtraHeartbeatFields>;
  received(heartbeat: ReceivedHeartbeat): void;
}
