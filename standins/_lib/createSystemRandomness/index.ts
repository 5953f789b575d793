import { randomBytes } from 'node:crypto';
import type { Randomness } from '../../../src/application/ports';

/** Creates randomness from the machine's own source. */
export function createSystemRandomness(): Randomness {
  return {
    readFraction: () => randomBytes(4).readUInt32BE(0) / 2 ** 32,
    readHex: (bytes) => randomBytes(bytes).toString('hex'),
  };
}
