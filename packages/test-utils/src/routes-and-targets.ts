import type { ClientAccount, Route, TargetRecord } from '@ferrylock/routing';

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

/** A client account without a limit; `requestsPerSecond` and `burst` give it one. */
export function makeAccount(changes: Partial<ClientAccount> = {}): ClientAccount {
  return {
    name: 'haulier',
    keys: [],
    requestsPerSecond: 0,
    burst: 0,
    priority: 0,
    homeRegions: [],
    ...changes,
  };
}

/** A client account that may run so many requests a second, and as many more in any window. */
export function makeLimitedAccount(requestsPerSecond: number, name = 'haulier'): ClientAccount {
  return makeAccount({ name, requestsPerSecond, burst: requestsPerSecond });
}
