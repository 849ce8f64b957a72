export { AccountLimitController } from './accounts/account-limit-controller.js';
export type { AccountLimitControllerOptions } from './accounts/account-limit-controller.js';
export { splitAddress } from './address.js';
export type { HostAndPort } from './address.js';
export type { DirectoryAnswer } from './directory.js';
export { EntryHost } from './entry-host.js';
export type { EntryHostOptions } from './entry-host.js';
export type { EntryHostSettings } from './entry-host-settings.js';
export { EventLog } from './event-log.js';
export { eventSchema } from './events.js';
export type { EntryEvent } from './events.js';
export {
  entryHostRecordSchema,
  fleetChangeSchema,
  fleetRecordSchema,
} from './fleet/fleet-record.js';
export type { EntryHostRecord, FleetChange, FleetRecord } from './fleet/fleet-record.js';
export type {
  FleetChanges,
  FleetStore,
  FleetStoreFailure,
  HostLease,
  SuspectWrite,
} from './fleet/fleet-store.js';
export { FleetMember } from './fleet-member.js';
export type { FleetMemberOptions } from './fleet-member.js';
export { suspectRecordSchema } from './fleet/suspect-record.js';
export type { SuspectRecord } from './fleet/suspect-record.js';
export { BoundedAgent } from './request/bounded-agent.js';
export { isDelimited } from './request/is-delimited.js';
export { FleetView } from './fleet/fleet-view.js';
export type { DatagramTransport, CreateTransport } from './peers/datagram-transport.js';
export type { PeerCalls } from './peers/peer-calls.js';
export { deltaResultSchema } from './peers/peer-messages.js';
export type {
  ResponseMetadata,
  RequestMetadata,
  HeaderCodec,
  ForwardMetadata,
} from './request/header-codec.js';
export { TargetReachability } from './reachability/target-reachability.js';
export type { TargetReachabilityOptions } from './reachability/target-reachability.js';
export { headerValues, parseDecimalHeader } from './request/decimal-header.js';
export { encodeHandover } from './handover/handover-headers.js';
export type { Handover } from './handover/handover-headers.js';
export type { Dial } from './request/target-client.js';
export { parseRetryAfter } from './request/retry-after.js';
export { forwardableHeaders } from './request/forwardable-headers.js';
export { encodeSuspects, suspectsSchema } from './peers/suspect-rows.js';
export { checkConnection } from './reachability/check-connection.js';
export type { CheckConnection, ConnectionCheck } from './reachability/check-connection.js';
export type { FingerprintedRequest } from './suspects/request-fingerprint.js';
export { requestFingerprint } from './suspects/request-fingerprint.js';
export { TargetSignalRecorder } from './request/target-signal-recorder.js';
export { SuspectController } from './suspects/suspect-controller.js';
export { createServerApp } from './servers/create-server-app.js';
export { CallerConnections } from './servers/caller-connections.js';
