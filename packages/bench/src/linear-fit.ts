/** A straight line through measured points, with how far the points lie from it. */
export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
  /** Standard error of the slope. */
  readonly slopeError: number;
  /** Share of the variation that the line explains, 0 to 1. */
  readonly rSquared: number;
}

export interface Point {
  readonly x: number;
  readonly y: number;
}

/** Least-squares line. Four points or more are needed for the error to mean anything. */
export function fitLine(points: readonly Point[]): LinearFit {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const sumXX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const sumXY = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const sumYY = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0);
  const slope = sumXY / sumXX;
  const intercept = meanY - slope * meanX;
  const residual = points.reduce((sum, { x, y }) => sum + (y - intercept - slope * x) ** 2, 0);
  return {
    slope,
    intercept,
    slopeError: Math.sqrt(residual / Math.max(1, count - 2) / sumXX),
    rSquared: sumYY === 0 ? 1 : 1 - residual / sumYY,
  };
}

/** The line's value at a size that was not measured. */
export function valueAt(fit: LinearFit, x: number): number {
  return fit.intercept + fit.slope * x;
}
