/** Running figures of the gaps between the batches of one stream. */
export interface GapStatistics {
  readonly count: number;
  readonly meanMs: number;
  readonly deviationMs: number;
}
