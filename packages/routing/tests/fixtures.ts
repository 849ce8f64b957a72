import { makeTargetRecord } from '@ferrylock/test-utils';
import { TargetState } from '../src/index.js';

/** Creates targets `target-0`, `target-1`, ..., distributed over the failure domains in turn. */
export function makeTargets(
  count: number,
  failureDomains: readonly string[] = ['aarhus-hal'],
): Map<string, TargetState> {
  const targets = new Map<string, TargetState>();
  for (let index = 0; index < count; index++) {
    const failureDomain = failureDomains[index % failureDomains.length] ?? '';
    const record = makeTargetRecord({ id: `target-${index}`, failureDomain });
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
