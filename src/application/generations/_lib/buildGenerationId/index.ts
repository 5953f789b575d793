import type { GenerationsContext } from '../../types';

/** Enough random bytes that two generations never share an id. */
const GENERATION_ID_BYTES = 12;

/**
 * Builds the id of a new generation.
 *
 * @param context - Generations of this VM.
 * @returns `gen_<hex>`.
 */
export const buildGenerationId = ({ dependencies }: GenerationsContext): string =>
  `gen_${dependencies.randomness.readHex(GENERATION_ID_BYTES)}`;
