/** A straight line through measured points. */
export interface SlopeFit {
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination: 1 is a perfect line. */
  readonly rSquared: number;
}
