import type { LimitFigures, ServiceTargets, TargetLimits } from '@ferrylock/routing';

/** A target that names a limit in its answers. */
export interface LimitedTarget extends LimitFigures {
  readonly service: string;
  readonly target: string;
  /** Requests a second that it takes from all hosts together. */
  readonly perSecond: number;
}

/** Targets that name a limit, as far as this host knows, and how much of it is this host's. */
export function limitedTargets(
  services: readonly ServiceTargets[],
  limits: Pick<TargetLimits, 'figuresOf'>,
): LimitedTarget[] {
  return services.flatMap(({ name, targets }) =>
    [...targets.values()].flatMap((target) => {
      const { perSecond } = target.word.limit;
      const figures = limits.figuresOf(target);
      return perSecond === undefined || figures === undefined
        ? []
        : [{ service: name, target: target.id, perSecond, ...figures }];
    }),
  );
}
