/**
 * Computes how much something still counts that counts less with its age and, from a certain age
 * on, not at all.
 *
 * @returns 1 while it is new to 0 from the age `ttlMs` on
 *
 * @example
 * computeRemainingFraction(150, 600); // 0.75
 */
export const computeRemainingFraction = (ageMs: number, ttlMs: number): number =>
  Math.min(1, Math.max(0, 1 - ageMs / ttlMs));
