import { FakeClock, makeRoute, makeTargetRecord } from '@ferrylock/test-utils';
import { NO_LIMITS, NO_DISABLED_MECHANISMS, OverflowBudget, ServiceTargets } from '../src/index.js';
import type { SelectionRequest, ServiceTargetsOptions, TargetRecord } from '../src/index.js';

const REGIONS: Record<string, string> = { 'aarhus-hal': 'jylland', 'odense-hal': 'fyn' };
const KEYS = Array.from({ length: 200 }, (_, index) => `object-${index}`);
/** When each target began, in Unix milliseconds. */
export const BORN = 1_000;

/** A service without targets, as a host in `jylland` knows it. */
export function makeService(
  clock = new FakeClock(),
  limits: ServiceTargetsOptions['limits'] = NO_LIMITS,
) {
  const bound = { share: 0.15, windowMilliseconds: 2_000 };
  const service = new ServiceTargets('verdict-api', {
    clock,
    overflows: new OverflowBudget({ clock, bound, ownName: 'host-1' }),
    retryBudget: { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 },
    regionOf: (failureDomain) => REGIONS[failureDomain] ?? failureDomain,
    ownRegion: 'jylland',
    isEvacuated: () => false,
    regionShiftLimit: bound,
    limits,
    disabledMechanisms: NO_DISABLED_MECHANISMS,
  });
  return { clock, service };
}

/** Records a target, in `jylland` unless it is said otherwise. */
export function put(
  service: ServiceTargets,
  id: string,
  changes: Partial<TargetRecord> = {},
): void {
  service.put(makeTargetRecord({ id, bornAt: BORN, failureDomain: 'aarhus-hal', ...changes }));
}

/** Names of targets that requests for all objects are sent to, at one moment. */
export function reached(
  service: ServiceTargets,
  changes: Partial<SelectionRequest> = {},
): Set<string | undefined> {
  const chosen = KEYS.map((key) =>
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
  return new Set(chosen.map((target) => target?.id));
}
