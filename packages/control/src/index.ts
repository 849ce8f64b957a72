export { AllotmentLedger } from './allotments/allotment-ledger.js';
export type { OwnedUnits } from './allotments/allotment-ledger.js';
export { LimitRegister } from './allotments/limit-register.js';
export { PositionHolder } from './allotments/position-holder.js';
export { divideLimit, listPositions, positionLayoutSchema } from './allotments/position-layout.js';
export type { DividedLimit, Position, PositionLayout } from './allotments/position-layout.js';
export { RATE_LOAN_MILLISECONDS, RATE_UNITS, RateShares } from './allotments/rate-shares.js';
export { SlotLoans } from './allotments/slot-loans.js';
export type { SlotBorrower } from './allotments/slot-loans.js';
export { contentDigest, makeDelta } from './configuration/configuration-delta.js';
export { ConfigurationReplica } from './configuration/configuration-replica.js';
export { ConfigurationService } from './configuration/configuration-service.js';
export type { ChangeFailure, ChangeRequest } from './configuration/configuration-service.js';
export { ConfigurationSync } from './configuration/configuration-sync.js';
export type { DomainSummary } from './membership/domain-summary.js';
export { isServing, memberKey } from './membership/member.js';
export type { Member, MemberIdentity } from './membership/member.js';
export { Membership } from './membership/membership.js';
export { PeerClient } from './peer/peer-client.js';
export { PeerCallRejected, PeerRouter } from './peer/peer-router.js';
export type { PeerCall, PeerFailure, PeerTransport } from './peer/peer-transport.js';
export type {
  HeartbeatParticipant,
  ReceivedHeartbeat,
} from './membership/heartbeat-participant.js';
