/** Fits a straight line to measured points. */

/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** `y = intercept + slope * x`, and how well it fits. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination, 1 for a perfect fit. */
  readonly r2: number;
}

/** Least-squares fit; needs at least two points with different `x`. */
export function fitLine(points: readonly Point[]): Line {
  const meanX = mean(points.map(({x}) => x));
  const meanY = mean(points.map(({y}) => y));
  const sxx = sum(points.map(({x}) => (x - meanX) ** 2));
  const sxy = sum(points.map(({x, y}) => (x - meanX) * (y - meanY)));
  const syy = sum(points.map(({y}) => (y - meanY) ** 2));
  if (sxx === 0) throw new Error('a line needs two different sizes');
  const slope = sxy / sxx;
  const r2 = syy === 0 ? 1 : (sxy * sxy) / (sxx * syy);
  return {slope, intercept: meanY - slope * meanX, r2};
}

/** Arithmetic mean; NaN for an empty list. */
export function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
