import { linearRegression, linearRegressionLine, rSquared } from 'simple-statistics';
import type { SlopeFit, SlopePoint } from '../../types';

/** Measures of a point to which a line is fitted. */
export type SlopeMeasure = Exclude<keyof SlopePoint, 'size'>;

const DIGITS = 5;

const roundFigure = (value: number): number => Number(value.toPrecision(DIGITS));

/** Computes the least-squares line of one measure over the size. */
export function computeSlope(points: readonly SlopePoint[], measure: SlopeMeasure): SlopeFit {
  const pairs = points.map((point) => [point.size, point[measure]]);
  const line = linearRegression(pairs);
  const fit = rSquared(pairs, linearRegressionLine(line));
  return {
    slope: roundFigure(line.m),
    intercept: roundFigure(line.b),
    rSquared: Number.isFinite(fit) ? roundFigure(fit) : 1,
  };
}
