import { FakeClock, makeRoute, makeTargetRecord } from '@ferrylock/test-utils';
import { NO_LIMITS, NO_DISABLED_MECHANISMS, OverflowBudget, ServiceTargets } from '../src/index.js';
import type { SelectionRequest, ServiceTargetsOptions, TargetRecord } from '../src/index.js';

const REGIONS: Record<string, string> = { 'aarhus-hal': 'jylland', 'odense-hal': 'fyn' };
const KEYS = Array.from({ length: 200 }, (_, index) => `object-${index}`);
/** Start time of each target in Unix milliseconds. */
export const START_TIME = 1_000;

/** Creates a service without targets on a host in `jylland`. */
export function makeService(
  clock = new FakeClock(),
  limits: ServiceTargetsOptions['limits'] = NO_LIMITS,
) {
  const shiftLimit = { share: 0.15, windowMilliseconds: 2_000 };
  const service = new ServiceTargets('verdict-api', {
    clock,
    overflows: new OverflowBudget({ clock, bound: shiftLimit, ownName: 'host-1' }),
    ownName: 'host-1',
    retryBudget: { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 },
    regionOf: (failureDomain) => REGIONS[failureDomain] ?? failureDomain,
    ownRegion: 'jylland',
    isEvacuated: () => false,
    regionShiftLimit: shiftLimit,
    limits,
    disabledMechanisms: NO_DISABLED_MECHANISMS,
  });
  return { clock, service };
}

/** Adds a target, in `jylland` by default. */
export function put(
  service: ServiceTargets,
  id: string,
  changes: Partial<TargetRecord> = {},
): void {
  service.put(
    makeTargetRecord({ id, bornAt: START_TIME, failureDomain: 'aarhus-hal', ...changes }),
  );
}

/** Ids of the targets selected for requests to all objects. */
export function selectedTargets(
  service: ServiceTargets,
  changes: Partial<SelectionRequest> = {},
): Set<string | undefined> {
  const selected = KEYS.map((key) =>
    service.select({
      route: makeRoute(),
      key,
      tried: new Set(),
      lowestPriority: 0,
      ownName: 'host-1',
      coldSenders: ['host-1'],
      ...changes,
    }),
  );
  return new Set(selected.map((target) => target?.id));
}
