export { chooseShare } from './choose-share.js';
export { mostLoadPerSlot } from './most-load-per-slot.js';
export type { LoadBoundInput } from './most-load-per-slot.js';
export { RetryAllowance, SlidingCount } from './divided-limits.js';
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
export { TargetChoice } from './target-choice.js';
export type { TargetChoiceOptions, TargetDemand } from './target-choice.js';
export { targetRecordSchema } from './target-record.js';
export type { TargetRecord } from './target-record.js';
export { TargetState } from './target-state.js';
export { ColdGate } from './cold-gate.js';
export type { ColdDemand } from './cold-gate.js';
