import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Randomness } from '../../../src/application/ports';

/** Values that `readFraction` chooses from. */
const FRACTION_STEPS = 2 ** 32;

/** Creates randomness that gives the same values for the same seed. */
export function createSeededRandomness(seed: number): Randomness {
  const generator = xoroshiro128plus(seed);
  return {
    readFraction: () => uniformInt(generator, 0, FRACTION_STEPS - 1) / FRACTION_STEPS,
    readHex: (bytes) =>
      Array.from({ length: bytes }, () =>
        uniformInt(generator, 0, 255).toString(16).padStart(2, '0'),
      ).join(''),
  };
}
