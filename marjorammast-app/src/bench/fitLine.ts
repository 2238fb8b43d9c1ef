/** A straight line fitted to measured points. */
export type Line = { intercept: number; slope: number };

/**
 * Fits a straight line by least squares.
 *
 * @param points - pairs of x and y
 * @returns the line
 */
export const fitLine = (points: readonly (readonly [number, number])[]): Line => {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  return { intercept: meanY - slope * meanX, slope };
};

/** Value of a line at `x`. */
export const valueAt = ({ intercept, slope }: Line, x: number): number => intercept + slope * x;
