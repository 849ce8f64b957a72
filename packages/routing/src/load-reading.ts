/** Load that a target reports of itself; figures that cannot be read are undefined. */
export interface LoadReading {
  readonly running?: number | undefined;
  /** Requests queued at the target. */
  readonly waiting?: number | undefined;
  readonly slots?: number | undefined;
  /** How long work takes there at the moment, in percent of the usual time. */
  readonly workTimePercent?: number | undefined;
}

/** Running and queued requests; undefined unless both are known. */
export function requestsOf({ running, waiting }: LoadReading): number | undefined {
  return running === undefined || waiting === undefined ? undefined : running + waiting;
}
