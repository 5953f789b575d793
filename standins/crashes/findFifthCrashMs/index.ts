/** Crashes under a prompt part after which it may hardly be sent any more. */
const CRASHES = 5;

/**
 * Finds when the fifth server crashed under a part.
 *
 * @param crashedAtMs - times of the crashes, in order
 * @returns Infinity if fewer servers crashed
 */
export const findFifthCrashMs = (crashedAtMs: readonly number[]): number =>
  crashedAtMs[CRASHES - 1] ?? Infinity;
