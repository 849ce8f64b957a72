export { AccountQuota } from './accounts/account-quota.js';
export type {
  PeerVisibility,
  UsageElsewhere,
  QuotaPolicy,
  QuotaRefusal,
} from './accounts/account-quota.js';
export { AccountQuotas } from './accounts/account-quotas.js';
export type { CountsByName, AccountQuotasOptions, UsageByName } from './accounts/account-quotas.js';
export { unaccountedShare } from './accounts/unaccounted-share.js';
export { ReportedCounts } from './accounts/reported-counts.js';
export { FairAdmission } from './admission/fair-admission.js';
export type {
  FairAdmissionOptions,
  FleetDemand,
  OverPart,
  PartsChange,
} from './admission/fair-admission.js';
export { divideFairly } from './admission/fair-parts.js';
export type { AccountDemand, FairParts } from './admission/fair-parts.js';
export { ReturnSchedule } from './admission/return-schedule.js';
export { loadPerSlot, servableShare } from './admission/service-room.js';
export type { ServiceRoom } from './admission/service-room.js';
export { AccountTable } from './accounts/account-table.js';
export type { AdmissionFailure, AdmittedRoute } from './accounts/account-table.js';
export { clientAccountSchema, clientAccountsSchema } from './accounts/client-account.js';
export type { ClientAccount, UnusableAccount } from './accounts/client-account.js';
export type { TargetAvailability } from './target-availability.js';
export { pickWeightedService } from './pick-weighted-service.js';
export { maxLoadPerSlot } from './max-load-per-slot.js';
export type { MaxLoadInput } from './max-load-per-slot.js';
export { HostShare } from './host-share.js';
export type { FleetRates } from './host-share.js';
export { RetryBudget } from './retry-budget.js';
export type { RetryBudgetSettings, RetryBudgetState } from './retry-budget.js';
export {
  callerLimitsSchema,
  configurationProblemSchema,
  isRepeatable,
  requestKindSchema,
  routeConfigurationSchema,
  routedServiceSchema,
  routeSchema,
  serviceShareSchema,
} from './route-configuration.js';
export type {
  CallerLimits,
  ConfigurationProblem,
  RequestKind,
  Route,
  RouteConfiguration,
  RoutedService,
  ServiceShare,
  UnusableRoute,
} from './route-configuration.js';
export { RouteTable } from './route-table.js';
export type { RouteMatch } from './route-table.js';
export { TrafficSplitter } from './traffic-splitter.js';
export { MECHANISMS, NO_DISABLED_MECHANISMS, parseDisabledMechanisms } from './mechanisms.js';
export type { DisabledMechanisms, Mechanism } from './mechanisms.js';
export { RegionPlacement } from './region-placement.js';
export type { RegionPlacementOptions, RegionCapacity } from './region-placement.js';
export { SlidingWindowCounter } from './sliding-window-counter.js';
export { RequestRate } from './request-rate.js';
export { RoundTripTimes } from './round-trip-times.js';
export { ServiceTargets } from './service-targets.js';
export type {
  PutOutcome,
  SelectionRequest,
  TargetReach,
  ServiceTargetsOptions,
  ObservedResponse,
} from './service-targets.js';
export { OverflowBudget } from './overflow-budget.js';
export type { RegionShiftLimit } from './overflow-budget.js';
export { TargetSelector } from './target-selector.js';
export type { TargetSelectorOptions, SelectionCriteria } from './target-selector.js';
export { ProcessingTimes } from './processing-times.js';
export { networkAddressSchema } from './network-address.js';
export { targetRecordSchema } from './target-record.js';
export type { TargetRecord } from './target-record.js';
export { compareIncarnations, targetIdOf, incarnationId } from './target-incarnation.js';
export type { TargetIncarnation } from './target-incarnation.js';
export { requestsOf } from './load-reading.js';
export type { LoadReading } from './load-reading.js';
export { TargetState } from './target-state.js';
export { TargetSignals } from './target-signals.js';
export { LIMIT_WINDOW_MILLISECONDS, LimitShare } from './limits/limit-share.js';
export type { LimitView } from './limits/limit-share.js';
export { NO_LIMITS, TargetLimits } from './limits/target-limits.js';
export type { LimitUsage, LimitFleet, TargetLimitsOptions } from './limits/target-limits.js';
export { AdvertisedLimit } from './limits/advertised-limit.js';
export type { ReceivedLimit } from './limits/advertised-limit.js';
export { ColdStartLimiter } from './cold-start-limiter.js';
export type { ColdStartRequest } from './cold-start-limiter.js';
export {
  RESPONSES_TO_CLEAR,
  SUSPECT_CRASHES,
  FINGERPRINT_PREFIX_LENGTH,
  SuspectTable,
} from './suspects/suspect-table.js';
export type { SuspectCrash, SuspectReport } from './suspects/suspect-table.js';
