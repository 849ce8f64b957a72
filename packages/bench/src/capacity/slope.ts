import type { LinearFit, Point } from '../linear-fit.js';
import { fitLine, valueAt } from '../linear-fit.js';
import type { Row } from '../report.js';
import { rounded } from '../report.js';

/** A cost that was measured at several sizes. */
export interface Slope {
  /** Short name, also that of its plot. */
  readonly name: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly points: readonly Point[];
  /** The size that the cost is worked out for. */
  readonly targetX: number;
}

export interface FittedSlope extends Slope {
  readonly fit: LinearFit;
  readonly atTarget: number;
}

/** Fits a straight line and takes its value at the target size. */
export function fitSlope(slope: Slope): FittedSlope {
  const fit = fitLine(slope.points);
  return { ...slope, fit, atTarget: valueAt(fit, slope.targetX) };
}

export function slopeRow({
  name,
  xLabel,
  yLabel,
  points,
  fit,
  targetX,
  atTarget,
}: FittedSlope): Row {
  return {
    slope: name,
    per: xLabel,
    unit: yLabel,
    sizes: points.map(({ x }) => x).join(' '),
    slopeValue: rounded(fit.slope),
    slopeError: rounded(fit.slopeError),
    intercept: rounded(fit.intercept),
    rSquared: rounded(fit.rSquared),
    targetSize: targetX,
    atTargetSize: rounded(atTarget),
  };
}
