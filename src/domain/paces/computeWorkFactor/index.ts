import { computeRemainingFraction } from '../../load';

/** Time for which a machine stays slow. */
const FACTOR_TTL_MS = 600;

/**
 * Computes how long work takes at a server now, from the factor that it stated last.
 *
 * A factor that was observed at a random moment of its time holds after an age of `a` with a
 * probability of 1 - a / `FACTOR_TTL_MS`. Without the decay, a server that was slow once would be
 * avoided until its next answer, which it would not get.
 *
 * @param factor - the stated factor; 1 is as usual
 * @param ageMs - time since it was stated
 *
 * @example
 * computeWorkFactor(2.5, 300); // 1.75
 */
export const computeWorkFactor = (factor: number, ageMs: number): number =>
  1 + (factor - 1) * computeRemainingFraction(ageMs, FACTOR_TTL_MS);
