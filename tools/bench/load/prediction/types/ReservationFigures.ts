/** Figures of one way under one pattern of lengths. */
export interface ReservationFigures {
  readonly predictor: string;
  readonly pattern: string;
  /** Part of the reserved token time that was not used, 0 to 1. */
  readonly wasted: number;
  /** Part of the requests refused because their reservation did not fit, 0 to 1. */
  readonly refused: number;
  /** Part of the generations that outgrew their reservation and found no room: recomputed. */
  readonly evicted: number;
}
