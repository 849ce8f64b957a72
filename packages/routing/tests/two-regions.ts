import { FakeClock, makeRoute, makeTargetRecord } from '@ferrylock/test-utils';
import { NO_LIMITS, NOTHING_LEFT_OUT, OverflowAllowance, ServiceTargets } from '../src/index.js';
import type { SeekingRequest, ServiceTargetsOptions, TargetRecord } from '../src/index.js';

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
    overflows: new OverflowAllowance({ clock, bound, ownName: 'host-1' }),
    retryBound: { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 },
    regionOf: (failureDomain) => REGIONS[failureDomain] ?? failureDomain,
    ownRegion: 'jylland',
    isEvacuated: () => false,
    shiftBound: bound,
    limits,
    leftOut: NOTHING_LEFT_OUT,
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
  changes: Partial<SeekingRequest> = {},
): Set<string | undefined> {
  const chosen = KEYS.map((key) =>
    service.choose({
      route: makeRoute(),
      key,
      tried: new Set(),
      leastUrgent: 0,
      ownName: 'host-1',
      coldSenders: ['host-1'],
      ...changes,
    }),
  );
  return new Set(chosen.map((target) => target?.id));
}
