import { z } from 'zod';
import { clientAccountsSchema } from './accounts/client-account.js';

/**
 * What may happen to a request of a route: `repeatable` ones may run more than once, `once` and
 * `upload` ones at most once; an `upload` also carries a large body.
 */
export const requestKindSchema = z.enum(['repeatable', 'once', 'upload']);

/** One of the services that a route divides its requests among. */
export const serviceShareSchema = z.object({
  service: z.string().min(1),
  /** Share of the requests relative to the other weights of the route. */
  weight: z.number().nonnegative(),
});

/** Where requests of one host name and path go, and how they are treated. */
export const routeSchema = z.object({
  name: z.string(),
  /** Value of the `Host` header, in lower case. */
  host: z.string().min(1),
  /** Begins and ends with a slash. */
  pathPrefix: z.string().min(1),
  kind: requestKindSchema,
  /** Longest that a request is held. */
  timeoutMilliseconds: z.number().positive(),
  /** Time within which an answer is of full use to the caller. */
  targetLatencyMilliseconds: z.number().positive(),
  /** Rank under overload; 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  shares: z.array(serviceShareSchema).min(1),
  /** Most targets that one request may be sent to. */
  mostAttempts: z.number().int().positive(),
  /** Whether targets work faster on objects that they have seen. */
  hasAffinity: z.boolean(),
  /** Regions whose targets alone may serve it; empty where any may. */
  homeRegions: z.array(z.string()),
  /** Whether callers without a client account may use it, where there are accounts. */
  admitsAnonymous: z.boolean(),
});

/** A service as its targets have it in common. */
export const routedServiceSchema = z.object({
  name: z.string().min(1),
  healthPath: z.string(),
  /** Connections that a target accepts from all entry hosts together. */
  mostConnections: z.number().int().positive(),
  /** How long a target stays slow after its start. */
  coldMilliseconds: z.number().nonnegative(),
  /** Requests a second that a cold target bears; infinite where nothing is said. */
  coldRequestsPerSecond: z.number().positive(),
});

/** Bounds on what callers send. */
export const callerLimitsSchema = z.object({
  mostHeaderBytes: z.number().int().positive(),
  mostBodyBytes: z.number().int().positive(),
  headerTimeoutMilliseconds: z.number().positive(),
  idleTimeoutMilliseconds: z.number().positive(),
});

/** All routes and services, whole, at one version. */
export const routeConfigurationSchema = z.object({
  version: z.number().int().nonnegative(),
  routes: z.array(routeSchema),
  services: z.array(routedServiceSchema),
  limits: callerLimitsSchema,
  /** Absent where callers need no account. */
  accounts: clientAccountsSchema.optional(),
});

export type RequestKind = z.infer<typeof requestKindSchema>;
export type ServiceShare = z.infer<typeof serviceShareSchema>;
export type Route = z.infer<typeof routeSchema>;
export type RoutedService = z.infer<typeof routedServiceSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type RouteConfiguration = z.infer<typeof routeConfigurationSchema>;
