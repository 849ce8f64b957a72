import type { LimitUsage, ServiceTargets, TargetLimits } from '@ferrylock/routing';

/** A target that names a limit in its answers. */
export interface LimitedTarget extends LimitUsage {
  readonly service: string;
  readonly target: string;
  /** Requests a second that it takes from all hosts together. */
  readonly perSecond: number;
}

/** Targets that name a limit, as far as this host knows, and how much of it is this host's. */
export function limitedTargets(
  services: readonly ServiceTargets[],
  limits: Pick<TargetLimits, 'usageOf'>,
): LimitedTarget[] {
  return services.flatMap(({ name, targets }) =>
    [...targets.values()].flatMap((target) => {
      const { perSecond } = target.signals.limit;
      const figures = limits.usageOf(target);
      return perSecond === undefined || figures === undefined
        ? []
        : [{ service: name, target: target.id, perSecond, ...figures }];
    }),
  );
}
