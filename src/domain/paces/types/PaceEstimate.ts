/** Estimate of a duration, with the number of samples that it rests on. */
export interface PaceEstimate {
  /** In the unit of the samples; 0 while there are none. */
  readonly value: number;
  readonly samples: number;
}
