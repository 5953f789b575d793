/** Highest value of a `uint32` field. */
const MAX_UINT32 = 2 ** 32 - 1;

/** Rounds a duration or a count to what a `uint32` field holds. */
export const roundCount = (value: number): number =>
  Math.min(MAX_UINT32, Math.max(0, Math.round(value)));
