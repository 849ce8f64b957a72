import type { Route, TargetRecord } from '@ferrylock/routing';

/** A route of one service, with the figures of skovlund's look-ups. */
export function makeRoute(changes: Partial<Route> = {}): Route {
  return {
    name: 'verdicts',
    host: 'verdicts.example',
    pathPrefix: '/',
    kind: 'repeatable',
    timeoutMilliseconds: 800,
    targetLatencyMilliseconds: 300,
    priority: 0,
    shares: [{ service: 'verdict-api', weight: 1 }],
    mostAttempts: 2,
    hasAffinity: true,
    homeRegions: [],
    admitsAnonymous: false,
    ...changes,
  };
}

/** What is recorded of a ready target of that service. */
export function makeTargetRecord(changes: Partial<TargetRecord> = {}): TargetRecord {
  return {
    id: 'target-1',
    service: 'verdict-api',
    address: '127.0.0.1:1',
    failureDomain: 'aarhus-hal',
    softwareVersion: 'v1',
    slots: 6,
    state: 'ready',
    coldMilliseconds: 0,
    ...changes,
  };
}
