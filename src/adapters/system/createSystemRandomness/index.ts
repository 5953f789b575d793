import { randomBytes } from 'node:crypto';
import type { Randomness } from '../../../application/ports';

/** Creates randomness from the operating system; `readHex` is unguessable. */
export function createSystemRandomness(): Randomness {
  return {
    readFraction: () => Math.random(),
    readHex: (bytes) => randomBytes(bytes).toString('hex'),
  };
}
