import type { ServiceTargets } from '@ferrylock/routing';

/** A target that names a limit in its answers. */
export interface LimitedTarget {
  readonly service: string;
  readonly target: string;
  /** Requests a second that it takes from all hosts together. */
  readonly perSecond: number;
}

/** Targets that name a limit, as far as this host knows. */
export function limitedTargets(services: readonly ServiceTargets[]): LimitedTarget[] {
  return services.flatMap(({ name, targets }) =>
    [...targets.values()].flatMap(({ id, word }) => {
      const { perSecond } = word.limit;
      return perSecond === undefined ? [] : [{ service: name, target: id, perSecond }];
    }),
  );
}
