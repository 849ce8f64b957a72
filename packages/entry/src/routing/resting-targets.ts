import type { ServiceTargets } from '@ferrylock/routing';

/** A target in a back-off ("rest") that it requested from this host through Retry-After. */
export interface RestingTarget {
  readonly service: string;
  readonly target: string;
  /** Remaining time of the rest. */
  readonly milliseconds: number;
}

/** Lists targets that are resting for this host. */
export function restingTargets(services: readonly ServiceTargets[], now: number): RestingTarget[] {
  return services.flatMap(({ name, targets }) =>
    [...targets.values()]
      .filter(({ signals }) => signals.isResting(now))
      .map(({ id, signals }) => ({
        service: name,
        target: id,
        milliseconds: signals.restsUntil - now,
      })),
  );
}
