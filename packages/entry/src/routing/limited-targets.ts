import type { LimitUsage, ServiceTargets, TargetLimits } from '@ferrylock/routing';

/** A target that advertises a limit in its responses. */
export interface LimitedTarget extends LimitUsage {
  readonly service: string;
  readonly target: string;
  /** Requests per second that the target accepts from all hosts together. */
  readonly perSecond: number;
}

/** Lists targets known to advertise a limit, with this host's usage of it. */
export function limitedTargets(
  services: readonly ServiceTargets[],
  limits: Pick<TargetLimits, 'usageOf'>,
): LimitedTarget[] {
  return services.flatMap(({ name, targets }) =>
    [...targets.values()].flatMap((target) => {
      const { perSecond } = target.signals.limit;
      const usage = limits.usageOf(target);
      return perSecond === undefined || usage === undefined
        ? []
        : [{ service: name, target: target.id, perSecond, ...usage }];
    }),
  );
}
