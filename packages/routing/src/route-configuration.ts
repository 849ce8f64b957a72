import { z } from 'zod';
import { clientAccountsSchema, unusableAccountSchema } from './accounts/client-account.js';

/**
 * Retry semantics of a route: `repeatable` and `download` requests may run more than once, `once`
 * and `upload` requests at most once. An `upload` carries a large body, a `download` has large
 * answers.
 */
export const requestKindSchema = z.enum(['repeatable', 'once', 'upload', 'download']);

/** Weighted service of a route. */
export const serviceShareSchema = z.object({
  service: z.string().min(1),
  /** Weight relative to the other services of the route. */
  weight: z.number().nonnegative(),
});

/** Route for requests of one host name and path prefix. */
export const routeSchema = z.object({
  name: z.string(),
  /** Value of the `Host` header, in lower case. */
  host: z.string().min(1),
  /** Starts and ends with a slash. */
  pathPrefix: z.string().min(1),
  kind: requestKindSchema,
  /** Overall timeout of a request. */
  timeoutMilliseconds: z.number().positive(),
  /** Latency up to which a response is fully useful to the caller. */
  targetLatencyMilliseconds: z.number().positive(),
  /** Priority under overload; 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  shares: z.array(serviceShareSchema).min(1),
  /** Limit on targets that one request is sent to. */
  mostAttempts: z.number().int().positive(),
  /** Tells whether targets respond faster for objects in their cache. */
  hasAffinity: z.boolean(),
  /** Regions that may serve the route; empty if any may. */
  homeRegions: z.array(z.string()),
  /** Tells whether callers without a client account are admitted while accounts are configured. */
  admitsAnonymous: z.boolean(),
});

/** Route that cannot be used. Without a host it may be any, without a prefix any of the host. */
export const unusableRouteSchema = z.object({
  /** Value of the `Host` header, in lower case. */
  host: z.string().min(1).optional(),
  pathPrefix: z.string().min(1).optional(),
});

/** Part of a configuration that this release cannot read. */
export const configurationProblemSchema = z.object({
  /** Location in the configuration. */
  field: z.string(),
  /** What was expected there. */
  rule: z.string(),
  /** Excerpt of the value; absent if it is missing or secret. */
  value: z.string().optional(),
});

/** Settings shared by all targets of a service. */
export const routedServiceSchema = z.object({
  name: z.string().min(1),
  healthPath: z.string(),
  /** Limit on connections to a target from all entry hosts together. */
  mostConnections: z.number().int().positive(),
  /** Duration of the cold start of a target. */
  coldMilliseconds: z.number().nonnegative(),
  /** Requests per second that a cold target sustains; infinite if not configured. */
  coldRequestsPerSecond: z.number().positive(),
});

/** Limits on caller requests. */
export const callerLimitsSchema = z.object({
  mostHeaderBytes: z.number().int().positive(),
  mostBodyBytes: z.number().int().positive(),
  headerTimeoutMilliseconds: z.number().positive(),
  idleTimeoutMilliseconds: z.number().positive(),
});

/** Complete routing configuration at one version. */
export const routeConfigurationSchema = z.object({
  version: z.number().int().nonnegative(),
  routes: z.array(routeSchema),
  /** Requests on these are rejected, as it is not known how they may run. */
  unusableRoutes: z.array(unusableRouteSchema).optional(),
  services: z.array(routedServiceSchema),
  limits: callerLimitsSchema,
  /** Absent if callers need no account. */
  accounts: clientAccountsSchema.optional(),
  unusableAccounts: z.array(unusableAccountSchema).optional(),
  /** The first problems of this version. */
  problems: z.array(configurationProblemSchema).optional(),
  /** Number of all problems of this version. */
  problemCount: z.number().int().nonnegative().optional(),
});

export type RequestKind = z.infer<typeof requestKindSchema>;
export type ServiceShare = z.infer<typeof serviceShareSchema>;
export type Route = z.infer<typeof routeSchema>;
export type RoutedService = z.infer<typeof routedServiceSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type UnusableRoute = z.infer<typeof unusableRouteSchema>;
export type ConfigurationProblem = z.infer<typeof configurationProblemSchema>;
export type RouteConfiguration = z.infer<typeof routeConfigurationSchema>;

/** Whether a request may run more than once. */
export function isRepeatable(kind: RequestKind): boolean {
  return kind === 'repeatable' || kind === 'download';
}
