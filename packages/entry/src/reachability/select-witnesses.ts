import type { ServiceTargets, TargetState } from '@ferrylock/routing';
import { shuffled } from '@ferrylock/utils';
import type { Random } from '@ferrylock/utils';

/** Targets of a failure domain that a check connects to at once. */
export const WITNESSES = 2;

/** Targets that are expected to accept connections, of one failure domain or of all. */
export function targetsOf(
  services: Iterable<ServiceTargets>,
  failureDomain?: string,
): TargetState[] {
  const targets: TargetState[] = [];
  for (const service of services) {
    for (const target of service.targets.values()) {
      const isIncluded = [undefined, target.record.failureDomain].includes(failureDomain);
      if (isIncluded && !target.leaving) {
        targets.push(target);
      }
    }
  }
  return targets;
}

/**
 * Selects the targets that answered last, which are the most likely to be alive; of two services
 * where possible, since all targets of one may fail for the same reason. A random one follows them,
 * since those two may have crashed of the same request.
 */
export function selectWitnesses(targets: readonly TargetState[], random: Random): TargetState[] {
  const recent = selectRecent(targets);
  const others = targets.filter((target) => !recent.includes(target));
  return [...recent, ...shuffled(random, others).slice(0, 1)];
}

function selectRecent(targets: readonly TargetState[]): TargetState[] {
  const recentFirst = [...targets].sort((a, b) => compareTimes(b, a));
  const [first] = recentFirst;
  if (first === undefined) {
    return [];
  }
  const others = recentFirst.slice(1);
  const second = others.find(({ record }) => record.service !== first.record.service) ?? others[0];
  return second === undefined ? [first] : [first, second];
}

/** Selects random targets, so that one that is gone does not decide every check. */
export function selectRandomWitnesses(
  targets: readonly TargetState[],
  random: Random,
): TargetState[] {
  return shuffled(random, targets).slice(0, WITNESSES);
}

function compareTimes({ lastResponseAt: a }: TargetState, { lastResponseAt: b }: TargetState) {
  return a === b ? 0 : a - b;
}
