/** Service of two classes in the last seconds. */
export interface ClassShares {
  /** True if the more urgent class does not fit: demands of it were refused for lack of room. */
  readonly isUrgentOverloaded: boolean;
  readonly urgentStarts: number;
  readonly otherStarts: number;
}

/** Starts of a less urgent class for each start of the more urgent one, while that does not fit. */
export const MIN_SHARE = 0.25;

/**
 * Checks whether a less urgent class is to get the next start.
 *
 * Strict priority would starve it for as long as the more urgent class alone exceeds the room.
 */
export const isShareOwed = ({
  isUrgentOverloaded,
  otherStarts,
  urgentStarts,
}: ClassShares): boolean => isUrgentOverloaded && otherStarts < urgentStarts * MIN_SHARE;
