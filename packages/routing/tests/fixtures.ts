import type { Route, TargetRecord } from '../src/index.js';
import { TargetState } from '../src/index.js';

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
    ...changes,
  };
}

export function makeRecord(changes: Partial<TargetRecord> = {}): TargetRecord {
  return {
    id: 'target-0',
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

/** Targets named `target-0`, `target-1` and so on, one to a failure domain in turn. */
export function makeTargets(
  count: number,
  failureDomains: readonly string[] = ['aarhus-hal'],
): Map<string, TargetState> {
  const targets = new Map<string, TargetState>();
  for (let index = 0; index < count; index++) {
    const failureDomain = failureDomains[index % failureDomains.length] ?? '';
    const record = makeRecord({ id: `target-${index}`, failureDomain });
    targets.set(record.id, new TargetState(record, 0));
  }
  return targets;
}

export function targetOf(targets: ReadonlyMap<string, TargetState>, id: string): TargetState {
  const target = targets.get(id);
  if (target === undefined) {
    throw new Error(`no target ${id}`);
  }
  return target;
}
