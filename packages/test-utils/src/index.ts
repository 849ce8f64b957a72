export { CrashFleet } from './crash-fleet.js';
export type {
  CrashFleetOptions,
  CrashFleetSend,
  CrashFleetWay,
  RepeatedRequest,
} from './crash-fleet.js';
export { EtcdStandIn } from './etcd-stand-in.js';
export { EntryFleet } from './entry-fleet.js';
export type { EntryFleetHost, EntryFleetOptions } from './entry-fleet.js';
export { EmulatedNetwork, MAX_DATAGRAM_BYTES } from './emulated-network.js';
export type { NetworkTraffic } from './emulated-network.js';
export { FakeClock } from './fake-clock.js';
export { FakeStore } from './fake-store.js';
export { HostListStandIn } from './host-list-stand-in.js';
export { KeyValueEngine } from './key-value-engine.js';
export type { StoreCallCounts, StoreFaults } from './key-value-engine.js';
export { atec, failureDomainsOf, makeDeclaration, skovlund } from './skovlund-and-atec.js';
export type { AccountSize, ServiceSize, TargetLocator } from './skovlund-and-atec.js';
export { TargetStandIn } from './target-stand-in.js';
export type { TargetBehaviour, TargetStandInOptions } from './target-stand-in.js';
export { MemoryFleetStore } from './memory-fleet-store.js';
export { ControlFleet } from './control-fleet.js';
export type { ControlFleetOptions, ControlNode } from './control-fleet.js';
export { MemoryNetwork } from './memory-network.js';
export type { NetworkCounts, NetworkFaults } from './memory-network.js';
export {
  makeAccount,
  makeLimitedAccount,
  makeRoute,
  makeTargetRecord,
} from './routes-and-targets.js';
export type { FleetArrival, TargetConduct, TargetReply } from './words/fleet-arrivals.js';
export { fullestLimitWindows, rateAtLimit } from './words/limit-windows.js';
export type { ArrivalAtLimit, LimitWindow } from './words/limit-windows.js';
export { WordFleet } from './words/word-fleet.js';
export type { WordFleetOptions } from './words/word-fleet.js';
export type { RestOfOthers } from './words/told-rests.js';
export { PausableClock, ProcessPause } from './process-pause.js';
export { QuotaFleet } from './quotas/quota-fleet.js';
export type { QuotaFleetOptions } from './quotas/quota-fleet.js';
export type { MakeQuotaWay, QuotaSight, QuotaWay, QuotaWayOptions } from './quotas/quota-way.js';
export { toldUse } from './quotas/told-use.js';
export { partOfLimit } from './quotas/part-of-limit.js';
