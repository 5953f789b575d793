const INCARNATION_TAGS = 256;

/**
 * Computes the tag that distinguishes heartbeats of an incarnation from those of the last 255.
 *
 * @param incarnation - incarnation of the process
 * @returns the lowest 8 bits of the incarnation
 */
export const computeIncarnationTag = (incarnation: number): number =>
  incarnation % INCARNATION_TAGS;
