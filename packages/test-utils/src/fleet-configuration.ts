import type { ClientAccount, RouteConfiguration } from '@ferrylock/routing';
import { makeRoute } from './routes-and-targets.js';

/** Timeout of each route. */
export const TIMEOUT_MILLISECONDS = 3_000;

export function serviceName(index: number): string {
  return `service-${index}`;
}

/** Configuration of an emulated fleet, with one route to each service. */
export function fleetConfiguration({
  services: count,
  accounts,
}: {
  readonly services: number;
  /** Client accounts, where callers need one. */
  readonly accounts?: readonly ClientAccount[];
}): RouteConfiguration {
  const services = Array.from({ length: count }, (_, index) => serviceName(index));
  return {
    version: 1,
    routes: services.map((service, index) =>
      makeRoute({
        name: `route-${index}`,
        host: `${service}.example`,
        shares: [{ service, weight: 1 }],
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
        targetLatencyMilliseconds: 1_000,
      }),
    ),
    services: services.map((name) => ({
      name,
      healthPath: '/health',
      mostConnections: 3_600,
      coldMilliseconds: 3_000,
      coldRequestsPerSecond: 2.8,
    })),
    limits: {
      mostHeaderBytes: 16_384,
      mostBodyBytes: 1_000_000,
      headerTimeoutMilliseconds: 3_000,
      idleTimeoutMilliseconds: 15_000,
    },
    accounts: accounts && [...accounts],
  };
}
