import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Randomness } from '../../../../../src/application/ports';

/** Creates randomness that is reproducible for a seed. */
export function createSeededRandomness(seed: number): Randomness {
  const generator = xoroshiro128plus(seed);
  const readFraction = (): number => uniformFloat64(generator);
  return {
    readFraction,
    readHex: (bytes) =>
      Array.from({ length: bytes }, () =>
        Math.floor(readFraction() * 256)
          .toString(16)
          .padStart(2, '0'),
      ).join(''),
  };
}
