import type { Declaration } from '@ferrylock/schema';
import { stableHash } from '@ferrylock/utils';

/**
 * Slots of each target that may be filled: those declared, less the region's headroom. What is kept
 * free is spread over the region's targets one slot at a time, alike at every daemon.
 */
export function effectiveSlots(declaration: Declaration, service: string): Map<string, number> {
  const targets = Object.entries(declaration.services[service]?.targets ?? {});
  const slots = new Map(targets.map(([name, target]) => [name, target.slots]));
  for (const headroom of Object.values(declaration.headroom)) {
    const names = targets
      .filter(
        ([, target]) =>
          declaration.failureDomains[target.failureDomain]?.region === headroom.region,
      )
      .map(([name]) => name);
    keepFree(slots, names, headroom.percent, service);
  }
  return slots;
}

function keepFree(
  slots: Map<string, number>,
  names: readonly string[],
  percent: number,
  seed: string,
): void {
  const total = names.reduce((sum, name) => sum + (slots.get(name) ?? 0), 0);
  let toKeep = Math.ceil((total * percent) / 100);
  const order = [...names].sort(
    (a, b) => stableHash(`${seed} ${a}`) - stableHash(`${seed} ${b}`) || (a < b ? -1 : 1),
  );
  while (toKeep > 0) {
    for (const name of order) {
      const left = slots.get(name) ?? 0;
      if (toKeep > 0 && left > 0) {
        slots.set(name, left - 1);
        toKeep--;
      }
    }
  }
}
