import type { GenerationsContext } from '../../types';

/** Random bytes of an id; enough to rule out collisions in practice. */
const GENERATION_ID_BYTES = 12;

/**
 * Builds the id of a new generation.
 *
 * @param context - Generations of this VM.
 * @returns `gen_<hex>`.
 */
export const buildGenerationId = ({ dependencies }: GenerationsContext): string =>
  `gen_${dependencies.randomness.readHex(GENERATION_ID_BYTES)}`;
