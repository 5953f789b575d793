const INCARNATION_TAGS = 256;

/**
 * Computes the tag that tells a pulse of this incarnation from one of the last 255.
 *
 * @param incarnation - of the process
 * @returns the lowest 8 bits of it
 */
export const computeIncarnationTag = (incarnation: number): number =>
  incarnation % INCARNATION_TAGS;
