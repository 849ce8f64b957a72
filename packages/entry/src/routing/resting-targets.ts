import type { ServiceTargets } from '@ferrylock/routing';

/** A target that is at rest for this host. */
export interface RestingTarget {
  readonly service: string;
  readonly target: string;
  /** How much of its rest is left. */
  readonly milliseconds: number;
}

/** Targets that have asked this host for rest that is not over. */
export function restingTargets(services: readonly ServiceTargets[], now: number): RestingTarget[] {
  return services.flatMap(({ name, targets }) =>
    [...targets.values()]
      .filter(({ signals: word }) => word.isResting(now))
      .map(({ id, signals: word }) => ({
        service: name,
        target: id,
        milliseconds: word.restsUntil - now,
      })),
  );
}
