/** Figures of one predictor under one pattern of lengths. */
export interface ReservationFigures {
  readonly predictor: string;
  readonly pattern: string;
  /** Unused share of the reserved tokens over time, 0 to 1. */
  readonly wasted: number;
  /** Share of the requests refused because their reservation did not fit, 0 to 1. */
  readonly refused: number;
  /** Share of the requests evicted, to be recomputed, because a larger reservation did not fit. */
  readonly evicted: number;
}
