export { AccountQuota } from './accounts/account-quota.js';
export type {
  FleetKnowledge,
  OthersUsage,
  QuotaBound,
  QuotaRefusal,
} from './accounts/account-quota.js';
export { AccountQuotas } from './accounts/account-quotas.js';
export type { CountsByName, AccountQuotasOptions, UsageByName } from './accounts/account-quotas.js';
export { forgottenShare } from './accounts/forgotten-share.js';
export { HeldCounts } from './accounts/held-counts.js';
export { AccountTable } from './accounts/account-table.js';
export type { AdmissionFailure, AdmittedRoute } from './accounts/account-table.js';
export { clientAccountSchema, clientAccountsSchema } from './accounts/client-account.js';
export type { ClientAccount } from './accounts/client-account.js';
export type { CommonWait } from './common-wait.js';
export { chooseShare } from './choose-share.js';
export { mostLoadPerSlot } from './most-load-per-slot.js';
export type { LoadBoundInput } from './most-load-per-slot.js';
export { RetryAllowance } from './divided-limits.js';
export type { RetryBound } from './divided-limits.js';
export {
  callerLimitsSchema,
  requestKindSchema,
  routeConfigurationSchema,
  routedServiceSchema,
  routeSchema,
  serviceShareSchema,
} from './route-configuration.js';
export type {
  CallerLimits,
  RequestKind,
  Route,
  RouteConfiguration,
  RoutedService,
  ServiceShare,
} from './route-configuration.js';
export { RouteTable } from './route-table.js';
export { ShareBalancer } from './share-balancer.js';
export { MECHANISMS, NOTHING_LEFT_OUT, parseLeftOut } from './mechanisms.js';
export type { LeftOut, Mechanism } from './mechanisms.js';
export { RegionPlacement } from './region-placement.js';
export type { RegionPlacementOptions, RegionRoom } from './region-placement.js';
export { SlidingCount } from './sliding-count.js';
export { RequestRate } from './request-rate.js';
export { RoundTrips } from './round-trips.js';
export { ServiceTargets } from './service-targets.js';
export type {
  PutOutcome,
  SeekingRequest,
  ServiceTargetsOptions,
  TargetAnswered,
} from './service-targets.js';
export { OverflowAllowance } from './shift-bound.js';
export type { ShiftBound } from './shift-bound.js';
export { TargetChoice } from './target-choice.js';
export type { TargetChoiceOptions, TargetDemand } from './target-choice.js';
export { WorkTimes } from './work-times.js';
export { targetRecordSchema } from './target-record.js';
export type { TargetRecord } from './target-record.js';
export { compareStarts, idOfStart, startName } from './target-start.js';
export type { TargetStart } from './target-start.js';
export { TargetState } from './target-state.js';
export { TargetWord } from './target-word.js';
export { LIMIT_WINDOW_MILLISECONDS, LimitPart } from './limits/limit-part.js';
export type { LimitSight } from './limits/limit-part.js';
export { NO_LIMITS, TargetLimits } from './limits/target-limits.js';
export type { LimitFigures, LimitFleet, TargetLimitsOptions } from './limits/target-limits.js';
export { LimitWord } from './limits/limit-word.js';
export type { HeardLimit } from './limits/limit-word.js';
export { ColdGate } from './cold-gate.js';
export type { ColdDemand } from './cold-gate.js';
export {
  ANSWERS_TO_TAKE_BACK,
  ENDS_OF_SUSPECT,
  FINGERPRINT_HEAD_CHARACTERS,
  SuspectTable,
} from './suspects/suspect-table.js';
export type { SuspectEnd, ToldSuspect } from './suspects/suspect-table.js';
