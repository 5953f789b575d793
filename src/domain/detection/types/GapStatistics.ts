/** Running statistics of the gaps between the batches of a stream. */
export interface GapStatistics {
  readonly count: number;
  readonly meanMs: number;
  readonly deviationMs: number;
}
